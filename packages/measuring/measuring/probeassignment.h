#pragma once

#include <optional>
#include <vector>

#include "base/id.h"

namespace Galenabarrow::Measuring
{

/// Assigns each server to one entry that probes it, by rendezvous hashing: the loss of an entry moves only its own servers.
class ProbeAssignment
{
public:
    /// Sets the entries that this instance sees live, including itself.
    void setEntries(std::vector<InstanceId> entries);
    /// The entry that probes \p server; nullopt when there are no entries.
    std::optional<InstanceId> prober(const ServerId &server) const;

private:
    std::vector<InstanceId> m_entries;
};

}
