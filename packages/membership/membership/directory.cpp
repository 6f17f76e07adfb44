#include "membership/directory.h"

#include <algorithm>
#include <utility>

namespace Galenabarrow::Membership
{

namespace
{

bool isListable(const Record &record)
{
    const auto &info = std::get<InstanceInfo>(record.body);
    return (info.roles & EntryRole) != 0 && info.serving && !record.leaving;
}

}

Directory::Directory(const DirectorySettings &settings, const MembershipTable &table, std::uint64_t initialRotation)
    : m_settings(settings)
    , m_table(table)
    , m_rotation(initialRotation)
{
}

void Directory::setRegisteredEntries(std::vector<ListedEntry> entries)
{
    m_registered = std::move(entries);
}

DirectoryAnswer Directory::lookup(const std::optional<DataCentreId> &dataCentre)
{
    DirectoryAnswer answer;
    answer.maxAge = m_settings.maxAge;
    answer.entries = listedEntries();
    answer.isFilled = answer.entries.size() * 2 < m_registered.size();
    std::vector<ListedEntry> missing = answer.isFilled ? missingEntries() : std::vector<ListedEntry>();

    orderByProximity(answer.entries, dataCentre);
    orderByProximity(missing, dataCentre);
    ++m_rotation;
    if (!missing.empty()) {
        // Entries without a live record may be serving, and live ones may have stopped, so an answer has entries of both kinds.
        answer.entries.resize(std::min(answer.entries.size(), m_settings.addresses - 1));
        answer.entries.insert(answer.entries.end(), missing.begin(), missing.end());
    }
    answer.entries.resize(std::min(answer.entries.size(), m_settings.addresses));
    return answer;
}

std::vector<ListedEntry> Directory::listedEntries() const
{
    std::vector<ListedEntry> entries;
    for (const Record *it : m_table.live(RecordKind::Instance)) {
        if (isListable(*it)) {
            const auto &info = std::get<InstanceInfo>(it->body);
            entries.push_back({ InstanceId(it->key.id), info.callerAddress, info.dataCentre, info.keyScope });
        }
    }
    return entries;
}

std::vector<ListedEntry> Directory::missingEntries() const
{
    std::vector<ListedEntry> entries;
    for (const ListedEntry &it : m_registered) {
        const RecordKey key { RecordKind::Instance, it.instance.value() };
        const Record *record = m_table.lastKnown(key);
        // A leaving entry, or a live one that is not serving, is not listed. One that is merely silent may well be serving.
        if (record == nullptr || (m_table.find(key) == nullptr && !record->leaving)) {
            entries.push_back(it);
        }
    }
    return entries;
}

// Entries in the caller's data centre come first, then the others. Both groups are rotated, so that each of their entries
// comes first equally often. If the first group fills an answer, its last place there goes to an entry of the second group.
void Directory::orderByProximity(std::vector<ListedEntry> &entries, const std::optional<DataCentreId> &dataCentre) const
{
    const auto far = std::stable_partition(entries.begin(), entries.end(),
                                           [&](const ListedEntry &it) { return !dataCentre || it.dataCentre == *dataCentre; });
    const auto rotateRange = [this](auto begin, auto end) {
        if (begin != end) {
            std::rotate(begin, begin + static_cast<std::ptrdiff_t>(m_rotation % static_cast<std::uint64_t>(end - begin)), end);
        }
    };
    rotateRange(entries.begin(), far);
    rotateRange(far, entries.end());
    const auto last = static_cast<std::ptrdiff_t>(m_settings.addresses) - 1;
    if (far != entries.end() && far - entries.begin() > last) {
        std::iter_swap(entries.begin() + last, far);
    }
}

}
