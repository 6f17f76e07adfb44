#include "coordination/corestatus.h"

#include "report/metricstext.h"
#include "report/processmetrics.h"

namespace Galenabarrow::Coordination
{

std::string metricsText(const CoreStatus &status)
{
    using Kind = Report::MetricsText::Kind;
    struct Row {
        std::string_view name;
        Kind kind;
        std::string_view help;
        std::uint64_t value;
    };
    const Row rows[] = {
        { "galenabarrow_core_is_leader", Kind::Gauge, "1 on the leader of the core.", status.isLeader ? 1U : 0U },
        { "galenabarrow_core_is_leader_known", Kind::Gauge, "0 while no leader is known and changes cannot be committed.",
          status.isLeaderKnown ? 1U : 0U },
        { "galenabarrow_core_term", Kind::Gauge, "Current Raft term.", status.term },
        { "galenabarrow_core_commit_index", Kind::Gauge, "Commit index of the replicated log.", status.commitIndex },
        { "galenabarrow_core_config_version", Kind::Gauge, "Version of the newest accepted routing configuration.", status.configVersion },
        { "galenabarrow_core_members", Kind::Gauge, "Instances of the core.", status.members },
        { "galenabarrow_core_voters", Kind::Gauge, "Instances of the core that vote.", status.voters },
        { "galenabarrow_core_membership_changes_total", Kind::Counter, "Replicas added to the core, promoted or removed.",
          status.membershipChanges },
        { "galenabarrow_core_refused_joins_total", Kind::Counter, "Requests to join that the leader could not grant yet.",
          status.refusedJoins },
        { "galenabarrow_core_entries", Kind::Gauge, "Entries that have reported recently.", status.entries },
        { "galenabarrow_core_entries_lost_total", Kind::Counter, "Entries that fell silent at this instance.", status.entriesLost },
        { "galenabarrow_core_evacuations", Kind::Gauge, "Evacuations of data centres in force.", status.evacuations },
        { "galenabarrow_core_store_suspended", Kind::Gauge,
          "1 while the store cannot be written and this instance takes no part in the log.", status.isSuspended ? 1U : 0U },
        { "galenabarrow_core_store_suspensions_total", Kind::Counter, "Times that the store could not be written.", status.suspensions },
        { "galenabarrow_core_orders_dropped_total", Kind::Counter, "Orders that were not proposed because their sender had left.",
          status.ordersDropped },
        { "galenabarrow_core_silent_links_total", Kind::Counter, "Connections to other core instances closed because they were silent.",
          status.silentLinks },
        { "galenabarrow_core_cold_servers", Kind::Gauge, "Backend servers that have just started and whose requests are limited.",
          status.coldServers },
        { "galenabarrow_core_feed_bytes_total", Kind::Counter, "Bytes of updates sent to entries.", status.feedBytes },
        { "galenabarrow_core_remote_feed_bytes_total", Kind::Counter, "Bytes of updates sent to entries of other data centres.",
          status.remoteFeedBytes },
        { "galenabarrow_core_feeds_held_total", Kind::Counter, "Updates deferred because of a slow entry.", status.feedsDeferred },
    };
    Report::MetricsText text;
    for (const Row &it : rows) {
        text.family(it.name, it.kind, it.help);
        text.sample({}, it.value);
    }
    text.family("galenabarrow_core_confirmed_age_seconds", Kind::Gauge,
                "Time since a quorum last confirmed the state; -1 before the first confirmation.");
    text.sample({}, status.confirmedAge ? std::chrono::duration<double>(*status.confirmedAge).count() : -1.0);
    text.family("galenabarrow_core_join_age_seconds", Kind::Gauge,
                "Time since this instance began to request to join the core; 0 while it is a member and knows the leader.");
    text.sample({}, status.joinAge ? std::chrono::duration<double>(*status.joinAge).count() : 0.0);
    text.family("galenabarrow_core_servers", Kind::Gauge, "Backend servers by state; silent ones are also counted as ready.");
    text.sample({ { "state", "ready" } }, status.readyServers);
    text.sample({ { "state", "draining" } }, status.drainingServers);
    text.sample({ { "state", "silent" } }, status.silentServers);
    if (status.quotas) {
        text.family("galenabarrow_core_quota_requests_total", Kind::Counter,
                    "Requests of accounts with a limit at the entries of this instance.");
        text.sample({ { "decision", "admitted" } }, status.quotas->admitted);
        text.sample({ { "decision", "rejected" } }, status.quotas->rejected);
        text.family("galenabarrow_core_limited_accounts", Kind::Gauge, "Accounts over their quota.");
        text.sample({}, status.quotas->limitedAccounts);
    }
    text.family("galenabarrow_core_sent_bytes_total", Kind::Counter, "Bytes sent to other core instances by kind of message.");
    for (const Wire::MessageKindName &it : Wire::MessageKindNames) {
        if (const auto sent = status.sentBytes.find(it.kind); sent != status.sentBytes.end()) {
            text.sample({ { "kind", it.name } }, sent->second);
        }
    }
    return text.text() + Report::processMetrics();
}

}
