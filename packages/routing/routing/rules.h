#pragma once

#include "base/resultcode.h"
#include "routing/model.h"

namespace Galenabarrow::Routing
{

/// Checks what every configuration must hold. Fails with ConfigInvalid and the first fault.
Result<void> validate(const RoutingConfig &config);

/// The configuration that \p change makes of \p current; not validated.
RoutingConfig apply(const ConfigChange &change, const RoutingConfig &current);

}
