#pragma once

#include <optional>
#include <vector>

#include "base/id.h"

namespace Galenabarrow::Measuring
{

/// Assigns each server to one prober by rendezvous hashing, so that a change of one entry moves only its servers.
class ProbeAssignment
{
public:
    /// The entries that this instance sees live, itself too.
    void setEntries(std::vector<InstanceId> entries);
    /// The prober of a server; empty without entries.
    std::optional<InstanceId> prober(const ServerId &server) const;

private:
    std::vector<InstanceId> m_entries;
};

}
