#include "daemon/actiondispatcher.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "daemon/httpinput.h"

namespace Galenabarrow::Daemon
{

namespace
{

// The owner replies at the deadline at the latest; this is the additional time for its reply to reach this entry.
constexpr Duration ForwardedReplyAllowance = std::chrono::milliseconds(50);

CallEnd withoutResponse(Outcome outcome, ResultCode code)
{
    return CallEnd { outcome, code, {} };
}

}

ActionDispatcher::ActionDispatcher(ClusterNode &cluster, Actions::ActionRegistry &registry, UpstreamClient &upstream,
                                   CallCounters &counters, std::mutex &lock, const Clock &clock, RunLocally runLocally)
    : m_cluster(cluster)
    , m_registry(registry)
    , m_upstream(upstream)
    , m_counters(counters)
    , m_lock(lock)
    , m_clock(clock)
    , m_runLocally(std::move(runLocally))
{
}

CallEnd ActionDispatcher::run(HttpRequest &request, CallerInput &input, Instant deadline)
{
    InstanceId owner;
    Actions::KeyOwnership ownership = Actions::KeyOwnership::Unclaimed;
    if (input.key->scope) {
        owner = input.key->scope->owner;
        const std::lock_guard lock(m_lock);
        ownership = m_registry.ownership(*input.key);
    } else {
        ownership = claim(input, owner, deadline);
    }
    switch (ownership) {
    case Actions::KeyOwnership::ThisIncarnation:
        return m_runLocally(request, input, deadline);
    case Actions::KeyOwnership::OtherInstance:
        return forward(request, input, owner, deadline);
    case Actions::KeyOwnership::EndedIncarnation:
        return withoutResponse(Outcome::Unknown, ResultCode::KeyOwnerEnded);
    case Actions::KeyOwnership::Unclaimed:
        break;
    }
    // An earlier request with this key may have been claimed and run by another entry, so "not run" is not certain.
    return withoutResponse(Outcome::Unknown, ResultCode::KeyOwnerUnreachable);
}

void ActionDispatcher::rejectBeyond(Instant end)
{
    m_lastDeadline = end;
}

bool ActionDispatcher::mayOutlastStop(Instant deadline) const
{
    return m_lastDeadline && deadline > *m_lastDeadline;
}

CallEnd ActionDispatcher::forward(HttpRequest &request, const CallerInput &input, const InstanceId &owner, Instant deadline)
{
    CallEnd unreachable = withoutResponse(Outcome::Unknown, ResultCode::KeyOwnerUnreachable);
    std::optional<std::string> address;
    {
        const std::lock_guard lock(m_lock);
        if (!mayOutlastStop(deadline)) {
            address = callerAddressOf(owner);
        }
    }
    // A call is forwarded at most once, so that two entries that disagree about an owner never pass it back and forth.
    if (!address || !input.forwardedBy.empty()) {
        return unreachable;
    }
    ++m_counters.forwarded;
    UpstreamRequest forwarded { *address, request.head.getMethod(), request.head.getURI(), {}, std::move(request.body), deadline, true };
    for (const auto &field : request.head) {
        if (!isHopHeader(field.first)) {
            forwarded.headers.push_back(field);
        }
    }
    for (const char *name : { CustomerHeader, ActionKeyHeader, DepthHeader, AttemptHeader, "Content-Type" }) {
        if (request.head.has(name)) {
            forwarded.headers.emplace_back(name, request.head.get(name));
        }
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - m_clock.now());
    forwarded.headers.emplace_back(DeadlineHeader, std::to_string(std::max<std::int64_t>(left.count(), 0)));
    forwarded.headers.emplace_back(ForwardedHeader, m_cluster.identity().instance.value());
    forwarded.deadline = deadline + ForwardedReplyAllowance;
    ExchangeHandle handle;
    UpstreamResponse response = m_upstream.exchange(forwarded, handle);
    return response.end == Entry::AttemptEnd::Answered ? endOfForwarded(std::move(response)) : unreachable;
}

Actions::KeyOwnership ActionDispatcher::claim(const CallerInput &input, InstanceId &owner, Instant deadline)
{
    // A claim after the deadline only adds load to control. Without this check, whether such a claim was decided before
    // the first tick after the deadline depended on the speed of the disk.
    if (m_clock.now() >= deadline) {
        return Actions::KeyOwnership::Unclaimed;
    }
    {
        const std::lock_guard lock(m_lock);
        if (!m_registry.canClaim() || mayOutlastStop(deadline)) {
            return Actions::KeyOwnership::Unclaimed;
        }
    }
    ++m_counters.claims;
    const Identity &self = m_cluster.identity();
    const std::string key = Actions::printActionKey(Actions::qualified(*input.key, input.customer));
    const Control::ProposalResult result =
        m_cluster.propose(Control::KeyClaim { key, self.instance, self.incarnation }, deadline - m_clock.now());
    if (result.code != ResultCode::Ok) {
        return Actions::KeyOwnership::Unclaimed;
    }
    owner = result.owner;
    const std::lock_guard lock(m_lock);
    return m_registry.ownership(result.owner, result.ownerIncarnation);
}

std::optional<std::string> ActionDispatcher::callerAddressOf(const InstanceId &instance) const
{
    const Membership::Record *record = m_cluster.members().find({ Membership::RecordKind::Instance, instance.value() });
    if (record != nullptr) {
        return std::get<Membership::InstanceInfo>(record->body).callerAddress;
    }
    for (const Control::RegisteredEntry &it : m_cluster.feed().registeredEntries()) {
        if (it.instance == instance) {
            return it.address;
        }
    }
    return std::nullopt;
}

}
