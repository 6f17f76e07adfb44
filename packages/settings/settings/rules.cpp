#include "settings/rules.h"

#include <algorithm>
#include <array>

namespace Galenabarrow::Settings
{

namespace
{

constexpr auto Strategies = std::to_array<std::string_view>({ "round-robin", "least-expected-delay" });
constexpr auto Thresholds = std::to_array<std::string_view>({ "debug", "info", "warn", "error" });

constexpr Duration Millisecond = std::chrono::milliseconds(1);
constexpr Duration Second = std::chrono::seconds(1);
constexpr std::int64_t KiB = 1024;
constexpr std::int64_t MiB = 1024 * KiB;
/// A lookup returns only a few addresses, so a longer list of seeds would not help.
constexpr std::size_t MaxSeeds = 64;

using Texts = std::vector<std::string>;

void storeRoles(Target target, Texts roles)
{
    const auto has = [&](std::string_view role) { return std::find(roles.begin(), roles.end(), role) != roles.end(); };
    target.settings.instance.isEntry = has("entry");
    target.settings.instance.isControl = has("control");
}

ReplicaSettings &replica(Target target)
{
    std::vector<ReplicaSettings> &replicas = target.settings.control.replicas;
    replicas.resize(std::max(replicas.size(), target.index + 1));
    return replicas[target.index];
}

// The freshness limit is at most 5 s: an entry must not serve by a contract that was changed more than 7 s ago (property P7),
// and commit and distribution need 2 s of these 7 s.
const auto Table = std::to_array<Rule>({
    { "instance.id", Requirement::Always,
      TextRule { TextKind::Name, [](Target it, std::string v) { it.settings.instance.id = InstanceId(std::move(v)); } },
      "Name of this instance, unique in the cluster." },
    { "instance.data_centre", Requirement::Always,
      TextRule { TextKind::Name, [](Target it, std::string v) { it.settings.instance.dataCentre = DataCentreId(std::move(v)); } },
      "Data centre of this instance." },
    { "instance.roles", Requirement::Always, ListRule { TextKind::Role, 2, storeRoles }, "What this instance does." },
    { "cluster.id", Requirement::Always,
      TextRule { TextKind::Name, [](Target it, std::string v) { it.settings.cluster.id = std::move(v); } },
      "Name of the cluster; frames of another cluster are refused." },
    { "cluster.key_file", Requirement::Always,
      TextRule { TextKind::FileName, [](Target it, std::string v) { it.settings.cluster.keyFile = std::move(v); } },
      "File with the key of the digest of frames, equal on all instances." },
    { "cluster.seeds", Requirement::Optional,
      ListRule { TextKind::ConnectAddress, MaxSeeds, [](Target it, Texts v) { it.settings.cluster.seeds = std::move(v); } },
      "Peer addresses of instances that a starting instance contacts first." },
    { "listen.callers", Requirement::Entry,
      TextRule { TextKind::ListenAddress, [](Target it, std::string v) { it.settings.listen.callers = std::move(v); } },
      "Address for callers." },
    { "listen.operators", Requirement::Always,
      TextRule { TextKind::ListenAddress, [](Target it, std::string v) { it.settings.listen.operators = std::move(v); } },
      "Address for operators." },
    { "listen.announcements", Requirement::Optional,
      TextRule { TextKind::ListenAddress, [](Target it, std::string v) { it.settings.listen.announcements = std::move(v); } },
      "Address for the announcements of servers; without it, they use the address for callers. Only for the role entry." },
    { "listen.peers", Requirement::Always,
      TextRule { TextKind::ListenAddress, [](Target it, std::string v) { it.settings.listen.peers = std::move(v); } },
      "Address for frames of other instances." },
    { "advertise.callers", Requirement::Optional,
      TextRule { TextKind::ConnectAddress, [](Target it, std::string v) { it.settings.advertise.callers = std::move(v); } },
      "What lookups return for this instance; without it, the listening address." },
    { "advertise.operators", Requirement::Optional,
      TextRule { TextKind::ConnectAddress, [](Target it, std::string v) { it.settings.advertise.operators = std::move(v); } },
      "Where operators reach this instance; without it, the listening address." },
    { "advertise.announcements", Requirement::Optional,
      TextRule { TextKind::ConnectAddress, [](Target it, std::string v) { it.settings.advertise.announcements = std::move(v); } },
      "Where servers reach this instance; without it, the listening address." },
    { "advertise.peers", Requirement::Optional,
      TextRule { TextKind::ConnectAddress, [](Target it, std::string v) { it.settings.advertise.peers = std::move(v); } },
      "Where other instances reach this one; without it, the listening address." },
    { "operators.token_file", Requirement::Always,
      TextRule { TextKind::FileName, [](Target it, std::string v) { it.settings.operatorsTokenFile = std::move(v); } },
      "File with the bearer token that operators have to send." },
    { "control.data_folder", Requirement::Control,
      TextRule { TextKind::FileName, [](Target it, std::string v) { it.settings.control.dataFolder = std::move(v); } },
      "Folder for the replicated log and its snapshots." },
    { "control.bootstrap", Requirement::Optional, FlagRule { [](Target it) -> bool & { return it.settings.control.bootstrap; } },
      "Creates the cluster from an empty data folder; without it, an instance with an empty data folder joins as a learner. Only for the "
      "role control." },
    { "control.replicas[].instance", Requirement::EachReplica,
      TextRule { TextKind::Name, [](Target it, std::string v) { replica(it).instance = InstanceId(std::move(v)); } },
      "Name of a control replica." },
    { "control.replicas[].data_centre", Requirement::EachReplica,
      TextRule { TextKind::Name, [](Target it, std::string v) { replica(it).dataCentre = DataCentreId(std::move(v)); } },
      "Data centre of the replica." },
    { "control.replicas[].peer_address", Requirement::EachReplica,
      TextRule { TextKind::ConnectAddress, [](Target it, std::string v) { replica(it).peerAddress = std::move(v); } },
      "Peer address of the replica." },
    { "timings.election_timeout_ms", Requirement::Optional,
      DurationRule { 100, 10'000, Millisecond, [](Target it) -> Duration & { return it.settings.timings.electionTimeout; } },
      "Time without a leader after which a replica asks for an election." },
    { "timings.heartbeat_ms", Requirement::Optional,
      DurationRule { 10, 3'000, Millisecond, [](Target it) -> Duration & { return it.settings.timings.heartbeat; } },
      "Time between the leader's messages; at most a third of the election timeout." },
    { "timings.freshness_limit_ms", Requirement::Optional,
      DurationRule { 500, 5'000, Millisecond, [](Target it) -> Duration & { return it.settings.timings.freshnessLimit; } },
      "An entry whose contract table is older takes no work; more than the election timeout." },
    { "timings.directory_max_age_s", Requirement::Optional,
      DurationRule { 1, 300, Second, [](Target it) -> Duration & { return it.settings.timings.directoryMaxAge; } },
      "How long a caller may use the answer to a lookup." },
    { "timings.server_lease_ms", Requirement::Optional,
      DurationRule { 1'000, 60'000, Millisecond, [](Target it) -> Duration & { return it.settings.timings.serverLease; } },
      "A server that was not heard from for this long is removed." },
    { "timings.drain_s", Requirement::Optional,
      DurationRule { 1, 3'600, Second, [](Target it) -> Duration & { return it.settings.timings.drain; } },
      "Longest time of a graceful stop; calls whose deadline lies after its end are refused from its start, and calls that came before and "
      "still run at its end are cut off, so it should exceed the max-age of the directory plus the longest deadline in the contracts." },
    { "limits.header_bytes", Requirement::Optional,
      IntegerRule { KiB, MiB, [](Target it) -> std::uint32_t & { return it.settings.limits.headerBytes; } },
      "Largest header section of a request." },
    { "limits.body_bytes", Requirement::Optional,
      IntegerRule { KiB, 8 * MiB, [](Target it) -> std::uint32_t & { return it.settings.limits.bodyBytes; } },
      "Largest body of a request or response." },
    { "limits.connections", Requirement::Optional,
      IntegerRule { 1, 4'096, [](Target it) -> std::uint32_t & { return it.settings.limits.connections; } },
      "Accepted connections per listening address." },
    { "limits.queue_size", Requirement::Optional,
      IntegerRule { 1, 65'536, [](Target it) -> std::uint32_t & { return it.settings.limits.queueSize; } },
      "Calls that wait at the entry for a server." },
    { "measuring.budget_permille", Requirement::Optional,
      NumberRule { 0.0, 100.0, [](Target it) -> double & { return it.settings.measuring.budgetPermille; } },
      "Share of the servers' slot time, per 1,000, that probes, reports and samples may use." },
    { "measuring.probe_deadline_ms", Requirement::Optional,
      DurationRule { 2, 1'000, Millisecond, [](Target it) -> Duration & { return it.settings.measuring.probeDeadline; } },
      "Longest time of a probe, reserved from the budget before it is sent." },
    { "contracts.serve_when_stale", Requirement::Optional,
      FlagRule { [](Target it) -> bool & { return it.settings.contracts.serveWhenStale; } },
      "Go on serving with an outdated contract table; P7 then does not hold during a partition." },
    { "routing.strategy", Requirement::Optional,
      ChoiceRule { Strategies, [](Target it) -> std::string & { return it.settings.routing.strategy; } },
      "How a server is chosen for a call." },
    { "routing.refusal_permille", Requirement::Optional,
      IntegerRule { 0, 1'000'000, [](Target it) -> std::uint32_t & { return it.settings.routing.refusalPermille; } },
      "Attempts per 1,000 calls that full servers may refuse before they are tried less often; 0 for no limit." },
    { "routing.exchange_waits", Requirement::Optional, FlagRule { [](Target it) -> bool & { return it.settings.routing.exchangeWaits; } },
      "Tell the other entries how long calls wait, so that near saturation the longest waits get the free slots." },
    { "log.threshold", Requirement::Optional,
      ChoiceRule { Thresholds, [](Target it) -> std::string & { return it.settings.log.threshold; } },
      "Least severe lines that are written." },
});

}

std::span<const Rule> rules()
{
    return Table;
}

std::span<const std::string_view> routingStrategies()
{
    return Strategies;
}

}
