#pragma once

#include <string>

namespace Galenabarrow::Gateway
{

/// Names of the header fields that callers, entries and backend servers exchange.
struct HeaderNames {
    /// Names an attempt of a caller; servers echo it.
    std::string requestId;
    /// Milliseconds that the sender will wait.
    std::string deadlineMilliseconds;
    /// Signature of a backend server over its response.
    std::string serverStamp;
    /// The server that a request is meant for; any other one answers 421.
    std::string expectedServer;
    /// Running requests, waiting requests, slots and optionally the duration of work in percent, separated by commas.
    std::string serverLoad;
    /// The server states that it did not run the request.
    std::string notExecuted;
    /// The id of the server that answers.
    std::string serverId;
    /// Seconds after which a rejected caller may come back.
    std::string retryAfter;
};

}
