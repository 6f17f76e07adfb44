#pragma once

namespace Galenabarrow
{

/// Whether a response with this status answers a request, and may be passed on to a caller (RFC 9110, section 15).
constexpr bool isFinalStatus(int status)
{
    return status >= 200 && status <= 599;
}

/// Whether a final response follows one with this status. 101 ends the use of HTTP on a connection, which nobody has asked for.
constexpr bool isInterimStatus(int status)
{
    return status >= 100 && status <= 199 && status != 101;
}

/// Interim responses to one request; a server that sends more does not answer.
constexpr unsigned MaxInterimResponses = 32;

}
