#pragma once

#include <string>

namespace Galenabarrow::Gateway
{

/// Names of the header fields that callers, entries and backend servers exchange.
struct HeaderNames {
    /// Identifies an attempt of a caller; servers echo it.
    std::string requestId;
    /// Milliseconds for which the sender waits for the response.
    std::string deadlineMilliseconds;
    /// Signature of a backend server over its response.
    std::string serverStamp;
    /// The id of the server that a request is meant for; any other server answers 421.
    std::string expectedServer;
    /// Running requests, waiting requests, slots and optionally the duration of work in percent of the usual one, separated by commas.
    std::string serverLoad;
    /// The server states that it did not run the request.
    std::string notExecuted;
    /// The id of the server that answers.
    std::string serverId;
    /// Seconds after which a rejected caller may retry; from a server, the time for which it takes no requests of this entry.
    std::string retryAfter;
    /// Requests a second that the server accepts from all entries together; only stated by a server in need.
    std::string serverLimit;
    /// The server states that it leaves.
    std::string serverLeaving;
    /// The name of the client account of a request; set by the entry.
    std::string account;
    /// In health responses, the milliseconds for which the server is still cold.
    std::string coldMilliseconds;
};

}
