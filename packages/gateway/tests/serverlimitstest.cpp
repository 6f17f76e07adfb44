#include "gateway/serverlimits.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Coordination;
using namespace Galenabarrow::Gateway;

namespace
{

const ServerId Server("s1");
constexpr std::uint64_t Born = 7;

/// The limits of one entry on a clock that the test advances.
struct Fixture {
    bool hear(std::optional<double> perSecond, StatementSource source = StatementSource::Response, Duration sentBefore = {})
    {
        return limits.record(Server, Born, LimitField { perSecond.has_value(), perSecond }, source, now - sentBefore, now);
    }

    void tell(std::optional<double> perSecond, double share, Duration age = {}, std::uint64_t born = Born)
    {
        limits.apply({ LimitShare { ServerLimit { Server, born, perSecond, age }, share } }, entries, now);
    }

    /// Sends whenever it is allowed for \p seconds; returns how often.
    unsigned sendFor(int seconds)
    {
        unsigned sent = 0;
        for (int n = 0; n < seconds * 100; ++n) {
            now += std::chrono::milliseconds(10);
            if (limits.maySend(Server, Born, now)) {
                limits.recordSend(Server, SendKind::First, now);
                ++sent;
            }
        }
        return sent;
    }

    unsigned entries = 17;
    ServerLimits limits;
    Instant now = Instant {} + std::chrono::seconds(1000);
};

}

TEST_CASE("an entry uses an equal part of a limit until the core has divided it, then its share")
{
    Fixture fixture;
    CHECK(fixture.sendFor(1) == 100);
    fixture.limits.apply({}, fixture.entries, fixture.now);
    CHECK(fixture.hear(1.7));
    CHECK_FALSE(fixture.limits.maySend(Server, Born, fixture.now));
    CHECK(fixture.sendFor(25) == 2); // 0.1 a second
    fixture.tell(1.7, 0.85);
    const unsigned sent = fixture.sendFor(20);
    CHECK(sent >= 16);
    CHECK(sent <= 18);
    fixture.tell(1.7, 0);
    CHECK(fixture.sendFor(20) == 0);
    CHECK(fixture.limits.wait(Server, Born, fixture.now) == Duration::max());
}

// Guards against an entry that goes on by an old share, or floods a server because the newest statement is not its own.
TEST_CASE("the newest statement counts, from a response or from the core")
{
    Fixture fixture;
    fixture.tell(4, 2);
    CHECK(fixture.sendFor(10) == 20);
    fixture.hear(1); // a quarter of what the core has divided
    CHECK(fixture.sendFor(10) == 5);
    fixture.tell(4, 2, std::chrono::seconds(60)); // older than the response
    CHECK(fixture.sendFor(10) == 5);
    fixture.now += std::chrono::seconds(1);
    fixture.tell(std::nullopt, 0);
    CHECK(fixture.sendFor(1) == 100);
}

TEST_CASE("tokens do not accumulate while nothing is sent")
{
    Fixture fixture;
    fixture.tell(2, 0.5);
    fixture.now += std::chrono::minutes(10);
    CHECK(fixture.sendFor(1) == 1);
}

TEST_CASE("only a later response to a request ends a limit")
{
    Fixture fixture;
    CHECK(fixture.hear(2));
    fixture.now += std::chrono::milliseconds(100);
    CHECK_FALSE(fixture.hear(std::nullopt, StatementSource::Rejection));
    CHECK_FALSE(fixture.hear(std::nullopt, StatementSource::Probe));
    CHECK_FALSE(fixture.hear(std::nullopt, StatementSource::Response, std::chrono::milliseconds(101)));
    CHECK(fixture.limits.isAnyLimited());
    CHECK_FALSE(
        fixture.limits.record(Server, Born, LimitField { true, std::nullopt }, StatementSource::Response, fixture.now, fixture.now));
    CHECK(fixture.limits.isAnyLimited());
    fixture.tell(2, 1, std::chrono::milliseconds(100));
    CHECK(fixture.hear(std::nullopt));
    CHECK_FALSE(fixture.limits.isAnyLimited());
    CHECK_FALSE(fixture.hear(std::nullopt));
}

TEST_CASE("what differs from the core's statement is reported until the core knows it")
{
    Fixture fixture;
    CHECK(fixture.limits.toReport(true, fixture.now).empty());
    CHECK(fixture.hear(2));
    fixture.now += std::chrono::milliseconds(50);
    const std::vector<ServerLimit> expected = { ServerLimit { Server, Born, 2, std::chrono::milliseconds(50) } };
    CHECK(fixture.limits.toReport(false, fixture.now) == expected);
    fixture.tell(2, 1, std::chrono::milliseconds(50));
    CHECK(fixture.limits.toReport(false, fixture.now).empty());
    // A core instance that has started again knows nothing: an entry tells it all, also what other entries have heard.
    CHECK(fixture.limits.toReport(true, fixture.now) == expected);
    CHECK_FALSE(fixture.hear(2.1)); // no reason for a report of its own
    CHECK(fixture.limits.toReport(false, fixture.now).size() == 1);
}

// Guards against the limit of a server that has left and whose id or address another one has.
TEST_CASE("a limit binds one incarnation of a server")
{
    Fixture fixture;
    fixture.hear(2);
    CHECK(fixture.limits.maySend(Server, Born + 1, fixture.now));
    fixture.tell(1, 0, {}, Born - 1);
    CHECK(fixture.limits.wait(Server, Born, fixture.now) < std::chrono::minutes(1));
    fixture.limits.remove(Server);
    CHECK(fixture.limits.maySend(Server, Born, fixture.now));
}
