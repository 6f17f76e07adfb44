#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "membership/membershiptable.h"

namespace Galenabarrow::Membership
{

/// An entry as a lookup lists it.
struct ListedEntry {
    InstanceId instance;
    /// "host:port" for callers.
    std::string address;
    DataCentreId dataCentre;
    /// Empty when not known; keys of callers then have no scope.
    std::string keyScope;

    bool operator==(const ListedEntry &) const = default;
};

/// The answer to a lookup.
struct DirectoryAnswer {
    std::vector<ListedEntry> entries;
    /// How long a caller may use the answer.
    Duration maxAge {};
    /// Fewer than half as many entries are listed as are registered, so registered entries without a live record are added.
    bool isFilled = false;
};

/// Size and lifetime of the answers to lookups.
struct DirectorySettings {
    /// Addresses in an answer; at least 1.
    std::size_t addresses = 3;
    Duration maxAge = std::chrono::seconds(10);
};

/// Answers lookups of entry addresses. Entries in the caller's data centre come first; the last address is in another data
/// centre if possible, so that callers survive the loss of their own. Successive answers start at different entries.
class Directory
{
public:
    /// \p initialRotation is where the rotation of the entries starts. It should be random, so that the instances do not all
    /// list the same entry first.
    Directory(const DirectorySettings &settings, const MembershipTable &table, std::uint64_t initialRotation);

    /// Sets all entries that are registered in the replicated log.
    void setRegisteredEntries(std::vector<ListedEntry> entries);
    /// Entries for a caller in \p dataCentre, or in any data centre when it is empty. Leaving entries are never listed.
    DirectoryAnswer lookup(const std::optional<DataCentreId> &dataCentre);

private:
    std::vector<ListedEntry> listedEntries() const;
    std::vector<ListedEntry> missingEntries() const;
    void orderByProximity(std::vector<ListedEntry> &entries, const std::optional<DataCentreId> &dataCentre) const;

    DirectorySettings m_settings;
    const MembershipTable &m_table;
    std::vector<ListedEntry> m_registered;
    std::uint64_t m_rotation;
};

}
