#pragma once

#include <cstddef>

#include "base/resultcode.h"
#include "routing/model.h"

namespace Galenabarrow::Routing
{

/// Largest configuration in bytes, as encodedBound() counts them; about 14,000 routes. Half of a frame: an update to an entry
/// holds the backend servers too.
constexpr std::size_t MaxConfigBytes = std::size_t { 4 } << 20U;

/// Bytes that \p config takes at most between instances.
std::size_t encodedBound(const RoutingConfig &config);

/// Checks what every configuration must hold. Fails with ConfigInvalid and the first fault.
Result<void> validate(const RoutingConfig &config);

/// The configuration that \p change makes of \p current; not validated.
RoutingConfig apply(const ConfigChange &change, const RoutingConfig &current);

}
