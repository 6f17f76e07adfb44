#pragma once

#include <optional>

#include "daemon/clusternode.h"
#include "daemon/controlnode.h"
#include "daemon/entrynode.h"
#include "daemon/httpmessage.h"

namespace Galenabarrow::Daemon
{

/// The answer to GET /v1/status; call it with the lock of the cluster held. \p entry is null without that role.
HttpReply statusReply(ClusterNode &cluster, const std::optional<Control::ControlStatus> &control, const EntryNode *entry, Instant now);

}
