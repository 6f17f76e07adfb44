#pragma once

#include <cstddef>

#include "base/resultcode.h"
#include "routing/model.h"

namespace Galenabarrow::Routing
{

/// Maximum size of a configuration in bytes by encodedBound(); about 14,000 routes. Half of a frame, since an update to an entry
/// contains the backend servers too.
constexpr std::size_t MaxConfigBytes = std::size_t { 4 } << 20U;

/// Maximum size of an encoded command of the replicated log in bytes: a configuration, and the names that a patch removes.
constexpr std::size_t MaxCommandBytes = std::size_t { 6 } << 20U;

/// Upper bound of the encoded size of \p config in bytes.
std::size_t encodedBound(const RoutingConfig &config);

/// Checks a configuration. Fails with ConfigInvalid and the first fault found.
Result<void> validate(const RoutingConfig &config);

/// The result of applying \p change to \p current; not validated.
RoutingConfig apply(const ConfigChange &change, const RoutingConfig &current);

}
