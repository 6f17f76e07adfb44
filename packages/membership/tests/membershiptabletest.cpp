#include "membership/membershiptable.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "base/random.h"
#include "cluster.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Membership;
using namespace std::chrono_literals;

namespace
{

const Instant Start = Instant(1h);

Record serverRecord(std::uint64_t sequence, bool leaving = false, Instant lastContactAt = Start)
{
    return toRecord(serverAnnouncement("s1", sequence, leaving), lastContactAt);
}

}

// Guards against instances whose tables differ for good because they received the same records in different orders.
TEST_CASE("the table does not depend on the order in which records arrive", "[membership]")
{
    std::vector<Record> records;
    for (std::uint64_t n = 1; n <= 8; ++n) {
        records.push_back(serverRecord(n, n == 4));
        records.back().load = static_cast<std::uint16_t>(n);
        std::get<ServerInfo>(records.back().body).coldStart = n < 3;
        records.back().incarnation = Incarnation(n == 1 ? 99 : 100);
    }
    SeededRandom random(11);
    for (int round = 0; round < 200; ++round) {
        for (std::size_t n = records.size(); n > 1; --n) {
            std::swap(records[n - 1], records[random.below(n)]);
        }
        MembershipTable table({});
        for (const Record &it : records) {
            table.apply(it, Start);
        }
        const Record *record = table.find(serverKey("s1"));
        REQUIRE(record != nullptr);
        REQUIRE((record->leaving && record->sequence == SequenceNumber(8) && record->load == 8 && record->incarnation == Incarnation(100)));
        REQUIRE_FALSE(std::get<ServerInfo>(record->body).coldStart);
    }
}

// Guards against a late, older announcement that undoes the drain of a server.
TEST_CASE("a drain is never undone within an incarnation", "[membership]")
{
    MembershipTable table({});
    table.apply(serverRecord(5), Start);
    REQUIRE(table.markLeaving(serverKey("s1"), Start));
    REQUIRE(table.apply(serverRecord(4), Start) == Change::None);
    REQUIRE(table.apply(serverRecord(9), Start) == Change::Load);
    REQUIRE(table.find(serverKey("s1"))->leaving);

    REQUIRE(table.expire(Start + 10s).size() == 1);
    REQUIRE(table.find(serverKey("s1")) == nullptr);
    SECTION("a delayed older announcement does not restore it")
    {
        REQUIRE(table.apply(serverRecord(8, false, Start + 20s), Start + 20s) == Change::None);
        REQUIRE(table.find(serverKey("s1")) == nullptr);
    }
    SECTION("a newer one of the same incarnation is still leaving")
    {
        table.apply(serverRecord(10, false, Start + 20s), Start + 20s);
        REQUIRE(table.find(serverKey("s1"))->leaving);
    }
    SECTION("a new incarnation is not leaving")
    {
        Record record = serverRecord(1, false, Start + 20s);
        record.incarnation = Incarnation(101);
        REQUIRE(table.apply(record, Start + 20s) == Change::State);
        REQUIRE_FALSE(table.find(serverKey("s1"))->leaving);
    }
}

// Guards against a load report that overtakes a leaving announcement and so hides it.
TEST_CASE("a load report does not hide a change of state that arrives later", "[membership]")
{
    MembershipTable table({});
    table.apply(serverRecord(1), Start);
    REQUIRE(table.apply(loadOf(serverRecord(7), Start), Start) == Change::Load);
    REQUIRE(table.apply(loadOf(serverRecord(6), Start), Start) == Change::None);
    REQUIRE(table.apply(serverRecord(5, true), Start) == Change::Leaving);
    REQUIRE(table.find(serverKey("s1"))->loadSequence == SequenceNumber(7));
}

// Guards against an expired record that instances send to each other for ever.
TEST_CASE("the age of a record counts against its lease", "[membership]")
{
    MembershipTable table({});
    REQUIRE(table.apply(serverRecord(1, false, Start), Start + 10s) == Change::None);
    REQUIRE(table.apply(serverRecord(1, false, Start), Start + 9s) == Change::State);
    REQUIRE(table.expire(Start + 9900ms).empty());
    REQUIRE(table.expire(Start + 10s).size() == 1);
    REQUIRE(table.apply(serverRecord(1, false, Start + 1s), Start + 10s) == Change::None);
}

// Guards against fields that are lost in encoding, and against corrupt messages that crash the decoder.
TEST_CASE("gossip messages are encoded and decoded without loss, and corrupt ones decode or are rejected as malformed", "[membership]")
{
    GossipRecords message;
    message.records = { serverRecord(3, true, Start - 2s), instanceRecord(4, 77) };
    message.records[1].lastContactAt = Start - 1s;
    Record probe = serverRecord(9);
    probe.key.kind = RecordKind::Probe;
    probe.body = ProbeInfo { false };
    message.records.push_back(probe);
    message.loads = { loadOf(serverRecord(8), Start + 3s) };
    const std::vector<std::uint8_t> bytes = encode(message, Start);
    const Result<GossipRecords> decoded = decodeRecords(bytes, Start);
    REQUIRE(decoded);
    REQUIRE(decoded->loads == message.loads);
    for (std::size_t n = 0; n < 3; ++n) {
        const Record &in = message.records[n];
        const Record &out = decoded->records[n];
        REQUIRE((out.key == in.key && out.incarnation == in.incarnation && out.sequence == in.sequence && out.leaving == in.leaving));
        REQUIRE(
            (out.loadSequence == in.loadSequence && out.load == in.load && out.lastContactAt == in.lastContactAt && out.body == in.body));
    }
    const GossipDigest digest = *decodeDigest(encode(GossipDigest { 5, { { 1, 2, true } }, { { 3, 4, 5, 6 } }, true }));
    REQUIRE((digest.summary == 5 && digest.versions.size() == 1 && digest.stale.size() == 1 && digest.wantsVersions));

    SeededRandom random(12);
    for (int n = 0; n < 2000; ++n) {
        std::vector<std::uint8_t> damaged = bytes;
        damaged[random.below(damaged.size())] ^= static_cast<std::uint8_t>(1 + random.below(255));
        const bool isCut = random.below(2) != 0;
        const std::size_t cut = random.below(damaged.size());
        damaged.resize(damaged.size() - (isCut ? cut : 0));
        const Result<GossipRecords> result = decodeRecords(damaged, Start);
        REQUIRE((result || result.error().code == ResultCode::FrameMalformed));
    }
}
