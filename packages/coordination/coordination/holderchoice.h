#pragma once

#include <cstddef>
#include <set>
#include <vector>

#include "coordination/entrydirectory.h"

namespace Galenabarrow::Coordination
{

/// The entries among which a limit of \p server is divided: \p count of them, or all if there are fewer, those of the server's data centre
/// first. They are chosen by a hash of entry and server, so an entry that comes or goes moves few shares, the shares of many servers are
/// spread over all entries, and a smaller choice is a part of a larger one.
std::set<InstanceId> chooseHolders(const ServerId &server, const DataCentreId &dataCentre, const std::vector<EntryInfo> &entries,
                                   std::size_t count);

}
