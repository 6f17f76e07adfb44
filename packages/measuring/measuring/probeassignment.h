#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/id.h"

namespace Galenabarrow::Measuring
{

/// Assigns each server to one entry that probes it, by rendezvous hashing: the loss of an entry moves only its own servers.
class ProbeAssignment
{
public:
    /// A number that is the same for all who ask, and independent for each pair. Of several entries, the one with the largest probes the
    /// server; servers that are due for the same time are probed in this order, which differs from entry to entry.
    static std::uint64_t weight(const InstanceId &entry, const ServerId &server);
    /// Sets the entries that this instance sees live, including itself.
    void setEntries(std::vector<InstanceId> entries);
    /// The entry that probes \p server; nullopt when there are no entries.
    std::optional<InstanceId> prober(const ServerId &server) const;

private:
    std::vector<InstanceId> m_entries;
};

}
