#pragma once

#include <cstdint>
#include <vector>

#include "base/id.h"

namespace Galenabarrow::Control
{

/// Identifies the control instances with which the first start of a cluster is permitted, in any order. Never 0, which means none.
/// A store keeps it, so that the permission outlives a process that ends before the cluster has started.
std::uint64_t firstStartDigest(std::vector<InstanceId> instances);

}
