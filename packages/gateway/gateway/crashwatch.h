#pragma once

#include <functional>
#include <vector>

#include "base/log.h"
#include "base/random.h"
#include "coordination/crashledger.h"
#include "gateway/crashcheck.h"
#include "http/message.h"
#include "report/metricstext.h"
#include "routing/model.h"

namespace Galenabarrow::Gateway
{

/// Watches which requests of this entry were running when servers crashed, exchanges that with the other entries through the core, and
/// tells which requests are held back.
class CrashWatch
{
public:
    CrashWatch(Net::EventLoop &loop, RandomSource &random);

    /// Called when the connection was lost while the server ran a request. Finds out whether the server has crashed.
    void handleLostConnection(const Routing::BackendServer &server, const Coordination::RequestMark &mark);
    /// Records that a server has run the request to an end, which clears it.
    void recordEnd(const Coordination::RequestMark &mark);
    /// Whether requests of the same method, host and target were running when servers crashed. Only these need a mark.
    bool isSuspected(const Http::Request &request) const;
    /// Crashes since the request last ran to an end.
    std::size_t crashes(const Coordination::RequestMark &mark) const;
    /// Time until the request may be sent to a server; 0 when it is not held back.
    Duration holdTime(const Coordination::RequestMark &mark) const;

    /// Adds what other entries have seen.
    void apply(const std::vector<Coordination::CrashFact> &facts);
    /// What this entry has seen since the last call; or all that it knows, also from others.
    std::vector<Coordination::CrashFact> takeFacts(bool all);
    /// Sets the callback for facts that the core should be told at once.
    void onFact(std::function<void()> callback);
    /// Lost connections of servers that had crashed, and of others.
    const CrashCheck &checks() const;
    void writeMetrics(Report::MetricsText &text) const;

private:
    /// A fact that this entry has seen.
    struct SeenFact {
        Coordination::CrashFact fact;
        Instant at {};
    };

    void record(const Coordination::CrashFact &fact);

    Net::EventLoop &m_loop;
    Log m_log;
    CrashCheck m_check;
    Coordination::CrashLedger m_ledger;
    std::vector<SeenFact> m_unreported;
    std::function<void()> m_factCallback;
};

}
