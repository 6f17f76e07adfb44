#pragma once

#include <optional>

#include "base/id.h"
#include "daemon/httpmessage.h"
#include "membership/directory.h"

namespace Galenabarrow::Daemon
{

/// The data centre that a lookup names in its query.
std::optional<DataCentreId> dataCentreOf(const HttpRequest &request);
/// The answer to GET /v1/entries.
HttpReply lookupReply(const Membership::DirectoryAnswer &answer);

}
