#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/id.h"

namespace Galenabarrow::Coordination
{

/// An entry instance as callers see it.
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

/// The entries that a core instance knows, and which of them a caller is told.
class EntryDirectory
{
public:
    /// An entry that was not heard of for this time is left out: it reports every 300 ms, core instances pass that on every
    /// second, and one report of each kind may be late.
    static constexpr Duration Lifetime = std::chrono::milliseconds(1800);

    /// Notes an entry that was alive at \p heardAt. True when callers are told something else from now on.
    bool update(const EntryInfo &entry, Instant lastContactAt);
    /// Notes that a known entry is as it was described last. False when it is not known.
    bool refresh(const InstanceId &name, Instant lastContactAt);
    std::vector<EntryInfo> live(Instant now) const;
    std::size_t liveCount(Instant now) const;

    /// Addresses of at most \p most ready entries. The share of each data centre follows its slots: a request that is
    /// answered within its data centre saves a crossing, and callers reach all data centres alike. The same \p caller is
    /// told the same entries while these stay the same, because callers leave connections to entries that are not named.
    std::vector<std::string> choose(const SlotsByDataCentre &slots, std::size_t limit, std::string_view caller, Instant now) const;

private:
    struct Row {
        EntryInfo entry;
        Instant lastContactAt {};
    };
    std::map<InstanceId, Row> m_rows;
};

}
