#include "coordination/entrydirectory.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace Galenabarrow::Coordination
{

namespace
{

/// Upper limit of an entry's share of callers, as a multiple of an equal share: each entry has the same processor time.
constexpr double MaxEntryShareFactor = 2.0;

/// Sorts \p items by a hash of caller and item, so that a change of one item does not reorder the others.
void sortForCaller(std::string_view caller, std::vector<std::string> &items)
{
    const std::uint64_t seed = XXH3_64bits(caller.data(), caller.size());
    const auto rank = [seed](const std::string &it) { return XXH3_64bits_withSeed(it.data(), it.size(), seed); };
    std::sort(items.begin(), items.end(), [&rank](const std::string &a, const std::string &b) { return rank(a) < rank(b); });
}

/// A hash of the caller and the data centre as a number in [0, 1).
double fractionFor(std::string_view caller, const DataCentreId &dataCentre)
{
    constexpr double Range = 18446744073709551616.0; // 2^64
    const std::uint64_t seed = XXH3_64bits(caller.data(), caller.size());
    return static_cast<double>(XXH3_64bits_withSeed(dataCentre.value().data(), dataCentre.value().size(), ~seed)) / Range;
}

using EntriesByDataCentre = std::map<DataCentreId, std::vector<std::string>>;

/// Shares of the data centres in proportion to their slots, limited to MaxEntryShareFactor for each of their entries.
std::map<DataCentreId, double> targetShares(const EntriesByDataCentre &entries, const SlotsByDataCentre &slots)
{
    double slotSum = 0;
    double entrySum = 0;
    for (const auto &[dataCentre, addresses] : entries) {
        const auto it = slots.find(dataCentre);
        slotSum += it == slots.end() ? 0 : it->second;
        entrySum += static_cast<double>(addresses.size());
    }
    std::map<DataCentreId, double> shares;
    double sum = 0;
    double room = 0;
    for (const auto &[dataCentre, addresses] : entries) {
        const auto it = slots.find(dataCentre);
        const double even = static_cast<double>(addresses.size()) / entrySum;
        const double bySlots = slotSum <= 0 ? even : (it == slots.end() ? 0 : it->second) / slotSum;
        shares[dataCentre] = std::min(bySlots, even * MaxEntryShareFactor);
        sum += shares[dataCentre];
        room += even * MaxEntryShareFactor - shares[dataCentre];
    }
    // The excess of a data centre with too few entries goes to the others, in proportion to their distance from the limit.
    for (const auto &[dataCentre, addresses] : entries) {
        const double maxShare = static_cast<double>(addresses.size()) / entrySum * MaxEntryShareFactor;
        shares[dataCentre] += room <= 0 ? 0 : (1 - sum) * (maxShare - shares[dataCentre]) / room;
    }
    return shares;
}

}

bool EntryDirectory::update(const EntryInfo &entry, Instant lastContactAt)
{
    Row &row = m_rows[entry.name];
    if (lastContactAt < row.lastContactAt) {
        return false;
    }
    const bool isChanged = row.entry != entry || lastContactAt - row.lastContactAt > Lifetime;
    row = Row { entry, lastContactAt, false };
    return isChanged;
}

bool EntryDirectory::refresh(const InstanceId &name, Instant lastContactAt)
{
    const auto it = m_rows.find(name);
    if (it == m_rows.end()) {
        return false;
    }
    if (lastContactAt > it->second.lastContactAt) {
        it->second.lastContactAt = lastContactAt;
        it->second.isLost = false;
    }
    return true;
}

std::vector<EntryInfo> EntryDirectory::live(Instant now) const
{
    std::vector<EntryInfo> entries;
    for (const auto &[name, row] : m_rows) {
        if (now - row.lastContactAt <= Lifetime) {
            entries.push_back(row.entry);
        }
    }
    return entries;
}

std::size_t EntryDirectory::liveCount(Instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_rows.begin(), m_rows.end(), [now](const auto &it) { return now - it.second.lastContactAt <= Lifetime; }));
}

void EntryDirectory::markLost(const InstanceId &name)
{
    if (const auto it = m_rows.find(name); it != m_rows.end()) {
        it->second.isLost = true;
    }
}

double EntryDirectory::reachableShare(Instant now) const
{
    std::size_t known = 0;
    std::size_t live = 0;
    for (const auto &[name, row] : m_rows) {
        known += now - row.lastContactAt <= KnownTime ? 1 : 0;
        live += now - row.lastContactAt <= Lifetime && !row.isLost ? 1 : 0;
    }
    return known == 0 ? 1 : std::max(MinReachableShare, static_cast<double>(live) / static_cast<double>(known));
}

std::vector<std::string> EntryDirectory::choose(const SlotsByDataCentre &slots, std::size_t limit, std::string_view caller,
                                                Instant now) const
{
    EntriesByDataCentre entries;
    for (const auto &[name, row] : m_rows) {
        if (row.entry.isReady && now - row.lastContactAt <= Lifetime) {
            entries[row.entry.dataCentre].push_back(row.entry.address);
        }
    }
    const std::map<DataCentreId, double> shares = targetShares(entries, slots);
    double scale = static_cast<double>(limit);
    for (const auto &[dataCentre, addresses] : entries) {
        if (shares.at(dataCentre) > 0) {
            scale = std::min(scale, static_cast<double>(addresses.size()) / shares.at(dataCentre));
        }
    }
    std::vector<std::string> chosen;
    for (auto &[dataCentre, addresses] : entries) {
        sortForCaller(caller, addresses);
        // Rounds differently for each caller, so that the shares are exact on average over all callers.
        const auto count = static_cast<std::size_t>(std::floor(shares.at(dataCentre) * scale + fractionFor(caller, dataCentre)));
        const auto end = addresses.begin() + static_cast<std::ptrdiff_t>(std::min(count, addresses.size()));
        chosen.insert(chosen.end(), addresses.begin(), end);
    }
    sortForCaller(caller, chosen);
    if (chosen.size() > limit) {
        chosen.resize(limit);
    }
    return chosen;
}

}
