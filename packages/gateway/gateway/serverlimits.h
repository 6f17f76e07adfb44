#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string_view>

#include "base/clock.h"
#include "base/id.h"
#include "base/log.h"
#include "gateway/limitfield.h"

namespace Galenabarrow::Gateway
{

/// The kinds of responses of a server that may state a limit.
enum class LimitSource : std::uint8_t {
    /// The response to a request that was run.
    Response,
    /// The response to a request that was not run.
    Rejection,
    Probe,
};

/// What is sent to a server.
enum class SendKind : std::uint8_t {
    First,
    /// A request that was sent to another server before.
    Further,
    Probe,
};

/// The limits that backend servers state in their responses, as this entry has received them.
class ServerLimits
{
public:
    ServerLimits();

    /// Records what a response of the server says.
    void record(const ServerId &server, const LimitField &field, LimitSource source);
    /// Counts what is sent to a server with a limit.
    void recordSend(const ServerId &server, SendKind kind);
    /// Forgets a server that has left.
    void remove(const ServerId &server);
    /// Counters and gauges in the Prometheus text format.
    std::string metrics() const;

private:
    static constexpr std::size_t Kinds = 3;

    Log m_log;
    std::map<ServerId, double> m_limits;
    std::array<std::uint64_t, Kinds> m_statements {};
    std::array<std::uint64_t, Kinds> m_sends {};
    std::uint64_t m_unreadable = 0;
};

}
