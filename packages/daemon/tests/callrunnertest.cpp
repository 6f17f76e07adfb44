#include "daemon/callrunner.h"

#include <catch2/catch.hpp>

#include "base/random.h"
#include "scriptedserver.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Daemon;
using Galenabarrow::Daemon::Test::ScriptedServer;
using AfterReply = ScriptedServer::AfterReply;

namespace
{

using namespace std::chrono_literals;

const std::string Whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
constexpr Duration CallTime = 500ms;

/// Admits every call; a test sets \c fenced.
class StubDependencies final : public Entry::ContractView,
                               public Entry::AdmissionControl,
                               public Entry::ActionKeys,
                               public Entry::FreshnessView
{
public:
    tl::expected<Entry::CallTerms, ResultCode> terms(const CustomerId & /*customer*/, const ServiceId & /*service*/) const override
    {
        return Entry::CallTerms {};
    }
    tl::expected<void, ResultCode> admit(const CustomerId & /*customer*/, Instant /*now*/) override
    {
        return {};
    }
    void release(const CustomerId & /*customer*/, Instant /*now*/) override { }
    tl::expected<void, Entry::KeyRefusal> begin(const Actions::ActionKey & /*key*/, Instant /*now*/) override
    {
        return {};
    }
    void finish(const Actions::ActionKey & /*key*/, Outcome /*outcome*/, Instant /*now*/) override { }
    bool isFenced(Instant /*now*/) const override
    {
        return fenced;
    }

    bool fenced = false;
};

/// A runner with one server. The function that looks up the server's address runs after the engine has decided to
/// dispatch and before the runner sends, so a test simulates a freeze of the process there.
struct RunnerFixture {
    ScriptedServer server;
    ManualClock clock;
    SeededRandom random { 1 };
    StubDependencies dependencies;
    Entry::CallEngine engine { {}, dependencies, dependencies, dependencies, dependencies, random };
    std::mutex lock;
    UpstreamClient client { clock };
    WakeUpTimer wakeUp { clock, Duration::zero() };
    std::function<void()> beforeSend = [] {};
    CallRunner runner;
    Poco::Net::ServerSocket listener { Poco::Net::SocketAddress("127.0.0.1:0") };
    Poco::Net::StreamSocket caller { listener.address() };

    RunnerFixture()
        : server({ { Whole, AfterReply::KeepOpen }, { Whole, AfterReply::KeepOpen } })
        , runner(
              engine, dependencies, lock, client, [this](const ServerId &) { return address(); }, "scope", wakeUp, clock)
    {
        Entry::ServerRecord record;
        record.server = ServerId("a");
        record.service = ServiceId("order-desk");
        record.incarnation = Incarnation(1);
        record.slots = 1;
        engine.upsertServer(record, clock.now());
    }

    std::optional<std::string> address() const
    {
        beforeSend();
        return server.address();
    }

    CallEnd runAction()
    {
        Entry::CallRequest request;
        request.customer = CustomerId("sleepers-inc");
        request.service = ServiceId("order-desk");
        request.deadline = clock.now() + CallTime;
        CallContent content;
        content.method = "POST";
        content.target = "/orders";
        content.isAction = true;
        return runner.run(request, content, caller);
    }
};

}

// Guards against an action that runs after its caller received a deadline error, because the process was frozen between
// the decision to dispatch and the send. Only the check before the exchange prevents this: the shortest socket timeouts
// are long enough to connect and write.
TEST_CASE("an attempt whose deadline or freshness ended before it was sent is not sent", "[daemon][callrunner]")
{
    const bool isConnectionPooled = GENERATE(false, true);
    const bool expiresByFence = GENERATE(false, true);
    CAPTURE(isConnectionPooled, expiresByFence);
    RunnerFixture fixture;
    if (isConnectionPooled) {
        REQUIRE(fixture.runAction().outcome == Outcome::Answered);
        REQUIRE(fixture.client.counters().connectionsOpened == 1);
    }
    const int before = fixture.server.requests();
    fixture.beforeSend = [&] {
        if (expiresByFence) {
            fixture.dependencies.fenced = true;
        } else {
            fixture.clock.advance(CallTime);
        }
    };
    const CallEnd end = fixture.runAction();
    REQUIRE(end.outcome == Outcome::NotRun);
    REQUIRE(fixture.client.counters().connectionsReused == 0);
    REQUIRE(fixture.client.counters().connectionsOpened == static_cast<std::uint64_t>(before));
    // The same connection works for the next action, and the server has received nothing in between.
    fixture.beforeSend = [] {};
    fixture.dependencies.fenced = false;
    REQUIRE(fixture.runAction().outcome == Outcome::Answered);
    REQUIRE(fixture.server.requests() == before + 1);
}
