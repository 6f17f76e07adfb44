#include "coordination/membershiplog.h"

#include <utility>

namespace Galenabarrow::Coordination
{

namespace
{

std::string_view refusalName(Control::AdmissionRefusal refusal)
{
    return refusal == Control::AdmissionRefusal::ClusterFull ? "the core has the maximum number of replicas"
                                                             : "a replica with the same address still responds";
}

std::string joinNames(const std::vector<InstanceId> &names)
{
    std::string text;
    for (const InstanceId &it : names) {
        text += text.empty() ? it.value() : "," + it.value();
    }
    return text.empty() ? "none" : text;
}

std::string recentNames(const std::map<InstanceId, Instant> &times, Instant since)
{
    std::vector<InstanceId> names;
    for (const auto &[name, at] : times) {
        if (at >= since) {
            names.push_back(name);
        }
    }
    return joinNames(names);
}

std::string milliseconds(Duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

}

std::vector<MembershipLog::Event> MembershipLog::update(Replica &replica, Instant now)
{
    compareMembers(replica.membership());
    describeAttempt(replica, now);
    describeRefusals(replica.takeRefusedJoiners());
    return std::exchange(m_events, {});
}

std::uint64_t MembershipLog::changeCount() const
{
    return m_changeCount;
}

std::uint64_t MembershipLog::refusalCount() const
{
    return m_refusalCount;
}

void MembershipLog::compareMembers(const Control::Membership &membership)
{
    if (membership == m_membership) {
        return;
    }
    const Control::Membership previous = std::exchange(m_membership, membership);
    for (const Control::Member &it : previous.members) {
        if (membership.find(it.id) == nullptr) {
            ++m_changeCount;
            add("member_removed", it.id, { { "was_voter", it.isVoter ? "yes" : "no" } });
        }
    }
    for (const Control::Member &it : membership.members) {
        const Control::Member *known = previous.find(it.id);
        if (known != nullptr && known->isVoter == it.isVoter) {
            continue;
        }
        ++m_changeCount;
        add(known == nullptr ? "member_added"
                : it.isVoter ? "member_promoted"
                             : "member_demoted",
            it.id, { { "voter", it.isVoter ? "yes" : "no" } });
        m_refused.erase(it.id);
    }
}

void MembershipLog::describeAttempt(const Replica &replica, Instant now)
{
    const auto &attempt = replica.joinAttempt();
    if (!attempt) {
        if (m_attemptStartedAt) {
            m_events.push_back(Event { "joined", { { "after_ms", milliseconds(now - *m_attemptStartedAt) } } });
        }
        m_attemptStartedAt.reset();
        m_lastAttempt.clear();
        return;
    }
    if (m_attemptStartedAt != attempt->startedAt) {
        m_attemptStartedAt = attempt->startedAt;
        m_attemptLoggedAt = attempt->startedAt;
    }
    if (now - m_attemptLoggedAt < AttemptInterval) {
        return;
    }
    const std::string responding = recentNames(attempt->respondedAt, now - ResponseLifetime);
    const std::string leading = recentNames(attempt->challengedAt, now - ResponseLifetime);
    std::string state = joinNames(attempt->asked) + ";" + responding + ";" + leading;
    if (state == m_lastAttempt) {
        return;
    }
    m_lastAttempt = std::move(state);
    m_attemptLoggedAt = now;
    m_events.push_back(Event { "join_waiting",
                               { { "after_ms", milliseconds(now - attempt->startedAt) },
                                 { "asked", joinNames(attempt->asked) },
                                 { "responding", responding },
                                 { "leading", leading } } });
}

void MembershipLog::describeRefusals(const std::map<Control::ReplicaId, Control::AdmissionRefusal> &refused)
{
    for (const auto &[id, refusal] : refused) {
        ++m_refusalCount;
        const auto [it, isNew] = m_refused.try_emplace(id, refusal);
        if (isNew || it->second != refusal) {
            it->second = refusal;
            add("join_refused", id, { { "reason", std::string(refusalName(refusal)) } });
        }
    }
}

void MembershipLog::add(std::string name, const Control::ReplicaId &id, std::vector<LogField> fields)
{
    Event event { std::move(name), { { "member", id.instance.value() }, { "store", std::to_string(id.store.value()) } } };
    for (LogField &it : fields) {
        event.fields.push_back(std::move(it));
    }
    event.fields.push_back({ "members", std::to_string(m_membership.members.size()) });
    event.fields.push_back({ "voters", std::to_string(m_membership.voterCount()) });
    m_events.push_back(std::move(event));
}

}
