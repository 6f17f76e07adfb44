#include "control/contractstate.h"

#include <catch2/catch.hpp>

#include "simulation.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Control;

namespace
{

/// Applies commands with consecutive indexes.
struct Fixture {
    ContractState state;
    std::uint64_t index = 0;
    Duration time {};

    ProposalResult apply(const Command &command)
    {
        LogEntry entry;
        entry.index = LogIndex(++index);
        entry.term = Term(1);
        entry.kind = EntryKind::Proposal;
        entry.time = time;
        entry.command = encode(command);
        return state.apply(entry);
    }
    void restoreFromImage()
    {
        const Bytes image = state.encodeImage();
        state = ContractState();
        REQUIRE(state.restoreImage(image));
        REQUIRE(state.encodeImage() == image);
    }
    ResultCode claim(const std::string &key, const std::string &owner)
    {
        return apply(KeyClaim { key, InstanceId(owner), Incarnation(1) }).code;
    }
};

EntryRegistration registration(const std::string &id, const std::string &address)
{
    return { ChangeId(id), RegisteredEntry { InstanceId("e1"), Incarnation(1), address, DataCentreId("d1") } };
}

}

// Guards against a change that is reported as accepted because an operator has used its id for another change by mistake.
TEST_CASE("another change with a used id is rejected", "[state]")
{
    Fixture fixture;
    REQUIRE(fixture.apply(putChange("acme", 0, "a")).code == ResultCode::Ok);
    ContractChange other = putChange("acme", 1, "a");
    REQUIRE(fixture.apply(other).code == ResultCode::ChangeIdReused);
    fixture.restoreFromImage();
    REQUIRE(fixture.apply(other).code == ResultCode::ChangeIdReused);
    REQUIRE(fixture.apply(putChange("acme", 0, "a")).code == ResultCode::Ok);
    REQUIRE(fixture.state.contracts().at(CustomerId("acme")).contract.version == Version(1));
}

// Guards against a late copy of a registration that restores an old address, and against a registration lost in a snapshot.
TEST_CASE("a late copy of a registration changes nothing", "[state]")
{
    Fixture fixture;
    REQUIRE(fixture.apply(registration("r1", "old:1")).code == ResultCode::Ok);
    REQUIRE(fixture.apply(registration("r2", "new:1")).code == ResultCode::Ok);
    fixture.restoreFromImage();
    REQUIRE(fixture.apply(registration("r1", "old:1")).code == ResultCode::Ok);
    REQUIRE(fixture.state.registeredEntries().at(0).address == "new:1");
    REQUIRE(fixture.apply(EntryRemoval { ChangeId("x"), InstanceId("e1") }).code == ResultCode::Ok);
    REQUIRE(fixture.apply(registration("r2", "new:1")).code == ResultCode::Ok);
    REQUIRE(fixture.state.registeredEntries().empty());
}

// Guards against a second owner of an action key, also after a snapshot, and against claims dropped while they are needed.
TEST_CASE("a claimed key keeps its first owner", "[state]")
{
    Fixture fixture;
    REQUIRE(fixture.claim("k", "e1") == ResultCode::Ok);
    fixture.restoreFromImage();
    REQUIRE(fixture.apply(KeyClaim { "k", InstanceId("e2"), Incarnation(2) }).owner == InstanceId("e1"));
    for (std::size_t n = 1; n < MaxKeptClaims; ++n) {
        REQUIRE(fixture.claim(std::to_string(n), "e1") == ResultCode::Ok);
    }
    REQUIRE(fixture.claim("one more", "e1") == ResultCode::KeyWindowClosed);
    REQUIRE(fixture.claim("k", "e2") == ResultCode::Ok);
    REQUIRE(fixture.state.findClaim("k")->owner == InstanceId("e1"));
    fixture.time += ClaimLifetime;
    REQUIRE(fixture.claim("one more", "e1") == ResultCode::Ok);
    REQUIRE(fixture.state.findClaim("k") == nullptr);
}

// Guards against an unlimited number of stored results, and against a very late resend that is applied a second time.
TEST_CASE("a resend is not applied a second time after its result was dropped", "[state]")
{
    Fixture fixture;
    REQUIRE(fixture.apply(putChange("acme", 0, "a")).code == ResultCode::Ok);
    for (std::size_t n = 0; n < MaxKeptResults; ++n) {
        (void)fixture.apply(ChangeAbandonment { ChangeId(std::to_string(n)) });
    }
    REQUIRE(fixture.apply(putChange("acme", 0, "a")).code == ResultCode::VersionConflict);
}

// Guards against reads out of bounds in truncated or damaged buffers.
TEST_CASE("damaged buffers are rejected", "[state]")
{
    Fixture fixture;
    (void)fixture.apply(putChange("acme", 0, "a"));
    const Bytes command = encode(Command(putChange("acme", 0, "a")));
    FeedReply reply = fixture.state.changesAfter(LogIndex(), 1000);
    reply.stamp = FreshnessStamp { LogIndex(1), Duration(5) };
    reply.term = Term(7);
    const Bytes feed = encode(reply);
    REQUIRE(decodeFeedReply(feed)->contracts == reply.contracts);
    REQUIRE(decodeFeedReply(feed)->stamp->age == Duration(5));
    REQUIRE(decodeFeedReply(feed)->term == Term(7));
    for (std::size_t n = 0; n < command.size(); ++n) {
        const Result<Command> cut = decodeCommand(ByteView(command).first(n));
        REQUIRE((!cut || *cut == Command(putChange("acme", 0, "a")))); // the last bytes may be padding
        Bytes damaged = command;
        damaged[n] ^= 0xffU;
        (void)decodeCommand(damaged); // must not crash under the sanitizers
    }
    for (std::size_t n = 0; n < feed.size(); ++n) {
        Bytes damaged = feed;
        damaged[n] ^= 0xffU;
        (void)decodeFeedReply(damaged);
    }
    REQUIRE(fixture.state.restoreImage(command).error().code == ResultCode::StoreCorrupt);
}
