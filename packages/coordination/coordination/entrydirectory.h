#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/id.h"

namespace Galenabarrow::Coordination
{

/// Public data of an entry instance.
struct EntryInfo {
    InstanceId name;
    /// Where callers connect, as "host:port".
    std::string address;
    DataCentreId dataCentre;
    bool isReady = false;

    bool operator==(const EntryInfo &) const = default;
};

/// Slots of ready backend servers by data centre.
using SlotsByDataCentre = std::map<DataCentreId, double>;

/// The entries that a core instance knows. Selects the ones whose addresses a caller gets.
class EntryDirectory
{
public:
    /// An entry without a report for this time is left out. It reports every 300 ms, core instances forward that every second,
    /// and one report of each kind may be late.
    static constexpr Duration Lifetime = std::chrono::milliseconds(1800);

    /// An entry that has fallen silent may still serve callers, and keeps its part of the quotas for this time.
    static constexpr Duration KnownTime = std::chrono::seconds(15);
    static constexpr double MinReachableShare = 0.02;

    /// Inserts or updates an entry that was alive at \p lastContactAt. True when the entry has changed, or is alive again
    /// after more than Lifetime.
    bool update(const EntryInfo &entry, Instant lastContactAt);
    /// Extends the lifetime of a known entry whose data is unchanged. False when the entry is not known.
    bool refresh(const InstanceId &name, Instant lastContactAt);
    std::vector<EntryInfo> live(Instant now) const;
    std::size_t liveCount(Instant now) const;
    /// Marks a known entry as lost, until it is updated or refreshed by a later contact.
    void markLost(const InstanceId &name);
    /// The part of the entries of the last KnownTime that is live and not lost; 1 without any, and not below MinReachableShare.
    double reachableShare(Instant now) const;

    /// Addresses of at most \p limit ready entries. The share of each data centre is proportional to its slots: a request
    /// that is served within one data centre avoids a hop to another one, and callers reach all data centres equally well. The
    /// same \p caller gets the same addresses while the entries are unchanged, because callers close connections to entries
    /// that are not in the list.
    std::vector<std::string> choose(const SlotsByDataCentre &slots, std::size_t limit, std::string_view caller, Instant now) const;

private:
    struct Row {
        EntryInfo entry;
        Instant lastContactAt {};
        bool isLost = false;
    };
    std::map<InstanceId, Row> m_rows;
};

}
