#include "daemon/metricspage.h"

#include <string>
#include <string_view>

#include "report/burndata.h"
#include "report/metricstext.h"

namespace Galenabarrow::Daemon
{

namespace
{

using Report::MetricsText;

void addCounter(MetricsText &page, std::string_view name, std::string_view help, std::uint64_t value)
{
    page.family(name, MetricsText::Kind::Counter, help).sample({}, value);
}

void addGauge(MetricsText &page, std::string_view name, std::string_view help, std::uint64_t value)
{
    page.family(name, MetricsText::Kind::Gauge, help).sample({}, value);
}

void addPeers(MetricsText &page, const Wire::PeerCounters &peers)
{
    page.family("galenabarrow_peer_bytes_total", MetricsText::Kind::Counter, "Bytes of frames between instances.")
        .sample({ { "direction", "sent" } }, peers.bytesSent.load())
        .sample({ { "direction", "received" } }, peers.bytesReceived.load());
    page.family("galenabarrow_peer_message_bytes_total", MetricsText::Kind::Counter, "Bytes of frames between instances by message kind.");
    for (std::size_t n = 0; n < peers.kinds.size(); ++n) {
        const std::string_view kind = Wire::MessageKindNames[n].name;
        page.sample({ { "kind", kind }, { "direction", "sent" } }, peers.kinds[n].sent.load())
            .sample({ { "kind", kind }, { "direction", "received" } }, peers.kinds[n].received.load());
    }
    page.family("galenabarrow_peer_frames_total", MetricsText::Kind::Counter, "Frames between instances.")
        .sample({ { "direction", "sent" } }, peers.framesSent.load())
        .sample({ { "direction", "received" } }, peers.framesReceived.load());
    addCounter(page, "galenabarrow_peer_frames_dropped_total", "Frames that were not sent.", peers.framesDropped.load());
    addCounter(page, "galenabarrow_peer_bad_frames_total", "Frames that were refused.", peers.badFrames.load());
}

void addHttp(MetricsText &page, const HttpCounters &callers)
{
    addCounter(page, "galenabarrow_http_requests_total", "Complete requests at the callers' address.", callers.requests.load());
    addCounter(page, "galenabarrow_http_bad_requests_total", "Requests refused before they were read completely.",
               callers.badRequests.load());
    addCounter(page, "galenabarrow_http_connections_refused_total", "Connections refused because of the connection limit.",
               callers.connectionsRefused.load());
    addCounter(page, "galenabarrow_http_slow_senders_total", "Connections closed because a request took too long.",
               callers.slowSenders.load());
}

double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

void addProbes(MetricsText &page, const EntryNode &entry, Instant now)
{
    const Measuring::ProbeScheduler &scheduler = entry.probes().scheduler();
    const Measuring::ProbeCounters &probes = scheduler.counters();
    const Measuring::MeasuringBudget &budget = scheduler.budget();
    page.family("galenabarrow_measuring_server_seconds_total", MetricsText::Kind::Counter, "Server time used by measuring.")
        .sample({ { "kind", "probe" } }, seconds(probes.spent))
        .sample({ { "kind", "report" } }, seconds(budget.spent(Measuring::MeasurementKind::Report)))
        .sample({ { "kind", "sample" } }, seconds(budget.spent(Measuring::MeasurementKind::Sample)));
    addCounter(page, "galenabarrow_probes_sent_total", "Probes of servers.", probes.sent);
    addCounter(page, "galenabarrow_probes_failed_total", "Probes without a healthy response in time.", probes.failed);
    addCounter(page, "galenabarrow_probes_suppressed_total", "Due probes that were not sent for lack of budget, counted at each attempt.",
               probes.suppressed);
    addCounter(page, "galenabarrow_measuring_overruns_total", "Probes that took longer than was reserved.", budget.overruns());
    page.family("galenabarrow_measuring_budget_share", MetricsText::Kind::Gauge,
                "Server time per second that this entry may spend on measuring, in seconds.")
        .sample({}, budget.effectiveShare(now));
    addGauge(page, "galenabarrow_servers_avoided", "Servers that calls avoid after failures or a failed probe.",
             entry.engine().servers().avoidedCount(now));
}

void addEntry(MetricsText &page, const EntryNode &entry)
{
    const CallCounters &calls = entry.counters();
    addCounter(page, "galenabarrow_input_errors_total", "Calls with invalid headers.", calls.inputErrors.load());
    addCounter(page, "galenabarrow_forwarded_total", "Actions forwarded to the entry that owns their key.", calls.forwarded.load());
    addCounter(page, "galenabarrow_claims_total", "Keys claimed in the replicated log.", calls.claims.load());
    const Entry::EngineCounters &engine = entry.engine().counters();
    addCounter(page, "galenabarrow_first_attempts_total", "First attempts at servers.", engine.firstAttempts);
    addCounter(page, "galenabarrow_retries_total", "Attempts after one that failed.", engine.retries);
    addCounter(page, "galenabarrow_placements_total", "Attempts after a documented refusal.", engine.placements);
    addCounter(page, "galenabarrow_hedges_total", "Hedged attempts.", engine.hedges);
    addCounter(page, "galenabarrow_share_waits_total", "Calls that waited for a share of their customer's limit.", engine.shareWaits);
    addCounter(page, "galenabarrow_cancels_total", "Attempts cancelled.", engine.cancels);
    addGauge(page, "galenabarrow_calls_in_progress", "Calls that have not ended.", entry.engine().callCount());
    addGauge(page, "galenabarrow_calls_waiting", "Calls that wait for a server.", entry.engine().waitingCount());
    addGauge(page, "galenabarrow_action_keys", "Action keys stored at this entry.", entry.registry().keyCount());
    const UpstreamCounters &upstream = entry.upstreamCounters();
    page.family("galenabarrow_upstream_connections_total", MetricsText::Kind::Counter, "Connections to servers.")
        .sample({ { "event", "opened" } }, upstream.connectionsOpened.load())
        .sample({ { "event", "reused" } }, upstream.connectionsReused.load())
        .sample({ { "event", "abandoned" } }, upstream.connectionsAbandoned.load());
    entry.statistics().writeMetrics(page);
}

}

HttpReply metricsPage(const MetricsSources &sources)
{
    MetricsText page;
    addPeers(page, sources.peers);
    addHttp(page, sources.callers);
    const Instant now = sources.clock.now();
    {
        const std::lock_guard lock(sources.lock);
        addGauge(page, "galenabarrow_fenced", "1 while the entry is fenced, for instance because the contract table is too old.",
                 sources.cluster.isFenced(now) ? 1 : 0);
        const std::optional<Duration> age = sources.cluster.feed().freshnessAge(now);
        page.family("galenabarrow_freshness_age_seconds", MetricsText::Kind::Gauge,
                    "Age of the contract table; -1 before its first confirmation.")
            .sample({}, age ? std::chrono::duration<double>(*age).count() : -1.0);
        if (sources.entry != nullptr) {
            addEntry(page, *sources.entry);
            addProbes(page, *sources.entry, now);
        }
    }
    HttpReply reply;
    reply.contentType = MetricsText::contentType();
    reply.body = page.text();
    return reply;
}

HttpReply burnPage(const MetricsSources &sources)
{
    HttpReply reply;
    const InstanceId &self = sources.cluster.identity().instance;
    reply.body =
        Report::toJson(sources.entry != nullptr ? sources.entry->statistics().burnData(self) : Report::BurnData { { self }, {}, {} });
    return reply;
}

}
