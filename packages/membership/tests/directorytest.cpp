#include "membership/directory.h"

#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "cluster.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Membership;
using namespace std::chrono_literals;

namespace
{

const Instant Now = Instant(1h);
const DataCentreId Near("dc1");

/// A table with the first \p live of \p registered entries, which alternate between three data centres.
struct Fixture {
    Fixture(std::size_t live, std::size_t registered)
        : directory({}, table, 0)
    {
        std::vector<ListedEntry> entries;
        for (std::size_t n = 0; n < registered; ++n) {
            const Record record = entry(n);
            const auto &info = std::get<InstanceInfo>(record.body);
            entries.push_back({ InstanceId(record.key.id), info.callerAddress, info.dataCentre, {} });
            if (n < live) {
                table.apply(record, Now);
            }
        }
        directory.setRegisteredEntries(entries);
    }

    static Record entry(std::size_t n)
    {
        Record record = instanceRecord(n, 1);
        record.lastContactAt = Now;
        record.sequence = SequenceNumber(1);
        return record;
    }

    MembershipTable table { {} };
    Directory directory;
};

}

// Guards against callers that are sent to another data centre first, that all use the same entry, or that know no entry outside
// of their own data centre.
TEST_CASE("lookups list entries in the caller's data centre first and distribute callers evenly", "[membership]")
{
    Fixture fixture(17, 17);
    std::map<std::string, int> first;
    std::map<std::string, int> last;
    for (int n = 0; n < 660; ++n) {
        const DirectoryAnswer answer = fixture.directory.lookup(Near);
        REQUIRE((answer.entries.size() == 3 && answer.maxAge == Duration(10s) && !answer.isFilled));
        REQUIRE((answer.entries[0].dataCentre == Near && answer.entries[1].dataCentre == Near && answer.entries[2].dataCentre != Near));
        REQUIRE(answer.entries[0].instance != answer.entries[1].instance);
        REQUIRE_FALSE(answer.entries[0].keyScope.empty());
        ++first[answer.entries[0].instance.value()];
        ++last[answer.entries[2].instance.value()];
    }
    REQUIRE((first.size() == 6 && last.size() == 11));
    for (const auto &[instance, count] : first) {
        REQUIRE(count == 110);
    }
    for (const auto &[instance, count] : last) {
        REQUIRE(count == 60);
    }
}

// Guards against an entry that is listed although it is leaving or fenced.
TEST_CASE("leaving and fenced entries are not listed", "[membership]")
{
    Fixture fixture(5, 17); // below half, so registered entries are added
    const Record leaving = Fixture::entry(1);
    fixture.table.markLeaving(leaving.key, Now);
    Record fenced = Fixture::entry(4);
    fenced.sequence = SequenceNumber(2);
    std::get<InstanceInfo>(fenced.body).serving = false;
    fixture.table.apply(fenced, Now);
    const bool isRemoved = GENERATE(false, true);
    if (isRemoved) {
        fixture.table.expire(Now + 10s);
    }
    for (int n = 0; n < 100; ++n) {
        for (const ListedEntry &it : fixture.directory.lookup(Near).entries) {
            REQUIRE(it.instance.value() != leaving.key.id);
            // After its record has expired, a fenced entry is merely silent and may be listed.
            REQUIRE((isRemoved || it.instance.value() != fenced.key.id));
        }
    }
}

// Guards against a cut-off instance that directs all callers to the few entries it still has live records of.
TEST_CASE("registered entries are added when fewer than half of them are live", "[membership]")
{
    const auto [live, isFilled] = GENERATE(table<std::size_t, bool>({ { 9, false }, { 8, true }, { 1, true }, { 0, true } }));
    Fixture fixture(live, 17);
    std::set<std::string> listed;
    for (int n = 0; n < 200; ++n) {
        const DirectoryAnswer answer = fixture.directory.lookup(std::nullopt);
        REQUIRE((answer.isFilled == isFilled && answer.entries.size() == 3));
        for (const ListedEntry &it : answer.entries) {
            listed.insert(it.instance.value());
        }
    }
    REQUIRE(listed.size() == (isFilled ? 17 : live));
}
