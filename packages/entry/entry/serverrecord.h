#pragma once

#include <cstdint>

#include "base/clock.h"
#include "base/id.h"

namespace Galenabarrow::Entry
{

/// What the membership says about a server.
struct ServerRecord {
    ServerId server;
    ServiceId service;
    DataCentreId dataCentre;
    /// A new incarnation starts with empty estimates.
    Incarnation incarnation;
    /// Calls that the server runs at once.
    std::uint32_t slots = 1;
    /// Calls in flight as last reported, over all entries.
    std::uint32_t reportedInFlight = 0;
    /// How old the report is already when the record is handed over.
    Duration reportAge {};
    bool draining = false;
    bool coldStart = false;
};

}
