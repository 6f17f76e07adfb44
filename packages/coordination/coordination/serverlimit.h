#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "base/id.h"

namespace Galenabarrow::Coordination
{

/// The limit that a backend server states in its responses, as somebody has heard it.
struct ServerLimit {
    ServerId server;
    /// Start time of the server's incarnation, see Routing::BackendServer.
    std::uint64_t born = 0;
    /// Requests a second from all entries together; absent when the server states no limit any more.
    std::optional<double> perSecond;
    /// Time since the response that stated it.
    Duration age {};

    bool operator==(const ServerLimit &) const = default;
};

/// A limit together with the requests a second that one entry may send; 0 when the limit is divided among other entries.
struct LimitShare {
    ServerLimit limit;
    double perSecond = 0;

    bool operator==(const LimitShare &) const = default;
};

}
