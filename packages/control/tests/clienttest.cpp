#include <algorithm>

#include <catch2/catch.hpp>

#include "control/codecs.h"
#include "control/contractstate.h"
#include "control/feedclient.h"
#include "control/proposalclient.h"
#include "simulation.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Control;
using namespace std::chrono_literals;

namespace
{

const std::vector<ControlPeer> Controls { { InstanceId("c1"), "c1" }, { InstanceId("c2"), "c2" } };

Wire::Envelope answer(const Outgoing &request, Wire::MessageKind kind, Bytes payload)
{
    return { InstanceId("c1"), "c1", Incarnation(1), request.correlation, kind, std::move(payload) };
}

/// A feed client and the state that its requests are answered from.
struct FeedFixture {
    SeededRandom random { 1 };
    FeedClient client { Controls, random };
    ContractState state;
    Instant now {};
    std::uint64_t index = 0;

    void put(const std::string &customer, std::uint64_t expected)
    {
        LogEntry entry;
        entry.index = LogIndex(++index);
        entry.kind = EntryKind::Proposal;
        entry.command = encode(Command(putChange(customer, expected, customer + std::to_string(expected))));
        REQUIRE(state.apply(entry).code == ResultCode::Ok);
    }
    Outgoing sendRequest()
    {
        now += std::chrono::milliseconds(500);
        client.tick(now);
        return client.takeOutgoing().at(0);
    }
    /// Answers \p request from the state \p from, with one contract per reply.
    void reply(const Outgoing &request, const ContractState &from, Duration age)
    {
        FeedReply feed = from.changesAfter(decodeFeedRequest(request.payload)->after, 1);
        feed.stamp = FreshnessStamp { from.appliedIndex(), age };
        REQUIRE(client.receive(answer(request, Wire::MessageKind::FeedReply, encode(feed)), now));
    }
};

}

// Guards against a table that is treated as complete although a contract changed during the pass and moved behind the cursor:
// the entry would serve with an old version of the contract.
TEST_CASE("an entry is fenced until a pass over the changes is complete", "[feed]")
{
    FeedFixture fixture;
    fixture.put("a", 0);
    fixture.put("b", 0);
    fixture.reply(fixture.sendRequest(), fixture.state, {});
    ContractState before = fixture.state;
    fixture.put("b", 1);
    fixture.put("b", 2);
    fixture.reply(fixture.client.takeOutgoing().at(0), fixture.state, {});
    REQUIRE_FALSE(fixture.client.isFenced(fixture.now));
    REQUIRE(fixture.client.find(CustomerId("b"))->version == Version(3));

    FeedFixture other;
    other.put("a", 0);
    other.put("b", 0);
    other.put("c", 0);
    ContractState older = other.state;
    other.put("b", 1);
    other.put("d", 0);
    other.reply(other.sendRequest(), other.state, {}); // returns a; the pass continues up to c
    other.reply(other.client.takeOutgoing().at(0), other.state, {}); // returns c; b has moved behind it
    other.reply(other.client.takeOutgoing().at(0), older, {}); // an instance that lags has no more changes
    REQUIRE(other.client.isFenced(other.now));
    REQUIRE_FALSE(other.client.hasReachedStamp());
    other.reply(other.sendRequest(), other.state, {});
    other.reply(other.client.takeOutgoing().at(0), other.state, {});
    REQUIRE_FALSE(other.client.isFenced(other.now));
    REQUIRE(other.client.find(CustomerId("b"))->version == Version(2));
}

// Guards against an age that omits the time in transit, and against an entry that continues to serve without stamps.
TEST_CASE("the age of a stamp counts from the request", "[feed]")
{
    FeedFixture fixture;
    fixture.put("a", 0);
    const Outgoing request = fixture.sendRequest();
    fixture.now += std::chrono::milliseconds(900);
    fixture.reply(request, fixture.state, std::chrono::milliseconds(300));
    REQUIRE(fixture.client.freshnessAge(fixture.now) == std::chrono::milliseconds(1200));
    fixture.now += std::chrono::milliseconds(3800);
    REQUIRE_FALSE(fixture.client.isFenced(fixture.now));
    REQUIRE(fixture.client.isFenced(fixture.now + std::chrono::milliseconds(1)));
}

// Guards against an entry that stays with a failed control instance, or that accepts the answer to another request.
TEST_CASE("an entry switches to another control instance after a timeout", "[feed]")
{
    FeedFixture fixture;
    fixture.put("a", 0);
    const Outgoing first = fixture.sendRequest();
    fixture.now += std::chrono::milliseconds(1000);
    fixture.client.tick(fixture.now);
    const Outgoing second = fixture.client.takeOutgoing().at(0);
    REQUIRE(first.address != second.address);
    fixture.reply(first, fixture.state, {});
    REQUIRE(fixture.client.contracts().empty());
    fixture.reply(second, fixture.state, {});
    REQUIRE(fixture.client.contracts().size() == 1);
}

// Guards against a version that is replaced by an older one when an entry switches to a control instance that lags.
TEST_CASE("an entry keeps its version when the control instance lags", "[feed]")
{
    FeedFixture fixture;
    fixture.put("a", 0);
    const ContractState lagging = fixture.state;
    fixture.put("a", 1);
    Outgoing request = fixture.sendRequest();
    FeedReply feed = lagging.changesAfter(LogIndex(), 1000);
    fixture.reply(request, fixture.state, {});
    request = fixture.sendRequest();
    feed.after = decodeFeedRequest(request.payload)->after;
    feed.term = Term(3);
    REQUIRE_FALSE(fixture.client.receive(answer(request, Wire::MessageKind::FeedReply, encode(feed)), fixture.now).value());
    REQUIRE(fixture.client.find(CustomerId("a"))->version == Version(2));
    REQUIRE(fixture.client.tableIndex() == LogIndex(2));
    REQUIRE(fixture.client.term() == Term(3));
    fixture.reply(fixture.sendRequest(), fixture.state, {}); // from an instance that does not know the term yet
    REQUIRE(fixture.client.term() == Term(3));
}

// Guards against entries that all stay with the control instance that had the first confirmation.
TEST_CASE("an entry returns to the control instance that it chose at the start", "[feed]")
{
    std::vector<ControlPeer> controls;
    for (const char *name : { "c1", "c2", "c3", "c4", "c5" }) {
        controls.push_back({ InstanceId(name), name });
    }
    SeededRandom random(2);
    FeedClient client(controls, random);
    const std::string preferred = client.control().address;
    const std::string failed = preferred == "c5" ? "c4" : "c5";
    ContractState state;
    std::size_t timeouts = 0;
    std::size_t maxTimeouts = 0;
    std::size_t preferredRequests = 0;
    // The preferred instance and another one do not answer for 5 min; then all answer.
    for (Instant now {}; now < Instant(10min); now += 100ms) {
        client.tick(now);
        for (const Outgoing &request : client.takeOutgoing()) {
            if (now < Instant(5min) && (request.address == preferred || request.address == failed)) {
                maxTimeouts = std::max(maxTimeouts, ++timeouts);
                continue;
            }
            timeouts = 0;
            preferredRequests += request.address == preferred ? 1 : 0;
            FeedReply feed = state.changesAfter(decodeFeedRequest(request.payload)->after, 1000);
            feed.stamp = FreshnessStamp { state.appliedIndex(), Duration() };
            REQUIRE(client.receive(answer(request, Wire::MessageKind::FeedReply, encode(feed)), now));
        }
    }
    REQUIRE(maxTimeouts <= 2);
    REQUIRE(client.control().address == preferred);
    REQUIRE(preferredRequests >= 500);
}

// Guards against a rejection reported for a change although a lost copy may still reach the log, and against a resend that
// differs from the first copy.
TEST_CASE("a proposal finishes with its known outcome", "[proposal]")
{
    SeededRandom random(1);
    ProposalClient client(Controls, random);
    Instant now {};
    const auto refuse = [&](const Outgoing &request, ResultCode code) {
        ProposalResult result;
        result.code = code;
        REQUIRE(client.receive(answer(request, Wire::MessageKind::ProposeReply, encode(result)), now));
    };
    const auto finish = [&] {
        now += std::chrono::seconds(10);
        client.tick(now);
        return client.takeFinished().at(0).result.code;
    };
    client.propose(putChange("a", 0, "a"), now + std::chrono::seconds(5), now);
    const Outgoing first = client.takeOutgoing().at(0);

    SECTION("rejected everywhere")
    {
        refuse(first, ResultCode::NoQuorum);
        REQUIRE(finish() == ResultCode::NoQuorum);
    }
    SECTION("no answer")
    {
        REQUIRE(finish() == ResultCode::ChangeOutcomeUnknown);
    }
    SECTION("no answer, then rejected")
    {
        now += std::chrono::seconds(1);
        client.tick(now);
        const Outgoing second = client.takeOutgoing().at(0);
        REQUIRE(second.payload == first.payload);
        REQUIRE(second.address != first.address);
        refuse(second, ResultCode::NotLeader);
        REQUIRE(finish() == ResultCode::ChangeOutcomeUnknown);
    }
    SECTION("decided by a late answer to the first copy")
    {
        now += std::chrono::seconds(1);
        client.tick(now);
        refuse(first, ResultCode::VersionConflict);
        REQUIRE(client.takeFinished().at(0).result.code == ResultCode::VersionConflict);
        REQUIRE(client.openCount() == 0);
    }
}
