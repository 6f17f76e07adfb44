#pragma once

#include <cstdint>

#include "base/clock.h"
#include "base/id.h"

namespace Galenabarrow::Entry
{

/// A server as the membership describes it.
struct ServerRecord {
    ServerId server;
    ServiceId service;
    DataCentreId dataCentre;
    /// A change of incarnation resets the estimates of the server.
    Incarnation incarnation;
    /// Calls that the server runs concurrently.
    std::uint32_t slots = 1;
    /// Calls in flight from all entries, as last reported by the server.
    std::uint32_t reportedInFlight = 0;
    /// Age of the load report when the record is passed to the engine.
    Duration reportAge {};
    bool draining = false;
    bool coldStart = false;
};

}
