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
    /// Empty when it is not known; a caller's key then has no scope.
    std::string keyScope;

    bool operator==(const ListedEntry &) const = default;
};

/// The answer to a lookup.
struct DirectoryAnswer {
    std::vector<ListedEntry> entries;
    /// How long a caller may use the answer.
    Duration maxAge {};
    /// The view has shrunk below half of the registered entries, so registered ones fill the answer.
    bool isFilled = false;
};

/// Sizes and times of lookups.
struct DirectorySettings {
    /// At least 1.
    std::size_t addresses = 3;
    Duration maxAge = std::chrono::seconds(10);
};

/// Answers lookups of entry addresses. Near entries come first; the last address is in another data centre when there
/// is one, so that callers outlive the loss of their own. Successive answers start at different entries.
class Directory
{
public:
    /// \p initialRotation is where the rotation starts; random in a process, so that entries do not all list the same one.
    Directory(const DirectorySettings &settings, const MembershipTable &table, std::uint64_t initialRotation);

    /// All entries in the replicated log.
    void setRegisteredEntries(std::vector<ListedEntry> entries);
    /// Entries for a caller in \p dataCentre, or anywhere. Leaving entries are never listed.
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
