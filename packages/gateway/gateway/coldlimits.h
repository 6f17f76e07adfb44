#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "base/random.h"
#include "coordination/feed.h"
#include "routing/model.h"

namespace Galenabarrow::Gateway
{

struct ServerRow;

/// What this entry may send to servers that have just started, in services with Service::coldPerSecond. Uses no sockets.
///
/// A core instance divides the limit among few entries, see Coordination::ColdServers, and tells each entry its shares. They are complete
/// for all that the core instance knew up to a log entry: a server that became cold by then and is not named gets nothing from this
/// entry. For a server of whose cold time the core instance did not know, half of an equal part is used. In both cases a token bucket that
/// begins empty bounds the rate, and a token allows a request or a probe.
class ColdLimits
{
public:
    explicit ColdLimits(RandomSource &random);

    void setServices(const std::vector<Routing::Service> &services);
    /// Applies the shares of an update. To be followed by track().
    void apply(const Coordination::FeedUpdate &update, Instant now);
    /// Begins, adjusts and ends the limits of servers by their cold times; to be called when the rows or the shares have changed.
    void track(const std::map<ServerId, ServerRow> &rows, Instant now);

    /// Whether the service limits the requests of cold servers.
    bool hasLimit(const ServiceId &service) const;
    /// \p coldLeft, limited to the cold time of the service if this has a limit.
    Duration boundedColdTime(const ServiceId &service, Duration coldLeft) const;
    /// Whether the server is cold and has a limit.
    bool isLimited(const ServerRow &row, Instant now) const;
    bool isAnyLimited() const;
    /// Time until something may be sent to the server; 0 without a limit.
    Duration wait(const ServerRow &row, Instant now) const;
    /// Whether this entry is to send the first request to the cold server and may now. Such a server comes first: it would get no request
    /// while warm servers are free.
    bool awaitsFirstRequest(const ServerRow &row, Instant now) const;
    /// Takes a token for a request or a probe.
    void recordSend(const ServerRow &row, Instant now);
    /// Counts a request that was sent to another server although a cold one would have been better but for its limit.
    void recordWithheld();
    void remove(const ServerId &server);
    /// Counters and gauges in the Prometheus text format.
    std::string metrics(Instant now) const;

private:
    struct Bucket {
        Instant until {};
        double perSecond = 0;
        /// At most 1. Below 0 at first for an equal part, so that the entries do not all send at the same time.
        double tokens = 0;
        Instant refilledAt {};
        bool hasSent = false;
    };
    struct ServiceLimit {
        double perSecond = 0;
        Duration coldStart {};
    };

    const ServiceLimit *limitOf(const ServerRow &row) const;
    /// Requests a second for the server; absent when the share is not known.
    std::optional<double> share(const ServerRow &row) const;
    static double tokens(const Bucket &bucket, Instant now);
    void logChange(bool wasAnyLimited) const;

    RandomSource &m_random;
    Log m_log;
    std::map<ServiceId, ServiceLimit> m_services;
    std::map<ServerId, Coordination::ColdShare> m_shares;
    LogIndex m_coveredUpTo;
    unsigned m_entryCount = 1;
    std::map<ServerId, Bucket> m_buckets;
    std::uint64_t m_started = 0;
    std::uint64_t m_sent = 0;
    std::uint64_t m_withheld = 0;
};

}
