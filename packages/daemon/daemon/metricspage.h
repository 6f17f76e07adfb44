#pragma once

#include <mutex>

#include "daemon/clusternode.h"
#include "daemon/entrynode.h"
#include "daemon/httpmessage.h"
#include "daemon/httpserver.h"
#include "wire/peernetwork.h"

namespace Galenabarrow::Daemon
{

/// The objects whose counters the metrics page shows. \c entry is null without that role.
struct MetricsSources {
    ClusterNode &cluster;
    EntryNode *entry;
    const Wire::PeerCounters &peers;
    const HttpCounters &callers;
    std::mutex &lock;
    const Clock &clock;
};

/// The answer to GET /metrics.
HttpReply metricsPage(const MetricsSources &sources);
/// The answer to GET /v1/burn; without data for an instance without the role entry.
HttpReply burnPage(const MetricsSources &sources);

}
