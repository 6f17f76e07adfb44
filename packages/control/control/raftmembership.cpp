// Changes of the membership, which the leader makes one replica at a time.

#include "control/raftcore.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace Galenabarrow::Control
{

namespace
{
/// A joiner that proved to be alive longer ago than this is not added.
constexpr Duration JoinerLifetime = std::chrono::seconds(2);
/// Interval of the requests of a replica that leaves.
constexpr Duration LeaveInterval = std::chrono::milliseconds(100);

bool isEven(std::size_t count)
{
    return count % 2 == 0;
}
}

void RaftCore::addJoiner(const Member &member, Instant now)
{
    if (m_role == Role::Leader && member.id.instance != m_self.instance) {
        m_joiners[member.id.instance] = Joiner { member, now };
    }
}

std::map<ReplicaId, AdmissionRefusal> RaftCore::takeRefusedJoiners()
{
    return std::exchange(m_refusedJoiners, {});
}

void RaftCore::setRetiredReplicas(std::vector<ReplicaId> retired)
{
    m_retired = std::move(retired);
}

void RaftCore::setVoterTarget(std::size_t voters)
{
    m_voterTarget = voters;
}

void RaftCore::startLeaving()
{
    m_isLeaving = true;
}

bool RaftCore::hasLeft() const
{
    const bool isRemoved = m_log.membership().find(m_self) == nullptr && m_commit >= m_log.membershipIndex();
    return m_hasLeft || isRemoved;
}

bool RaftCore::isReplacingVoter() const
{
    return m_replacementStartedAt.has_value();
}

void RaftCore::requestLeave(Instant now)
{
    if (!m_isLeaving || hasLeft()) {
        return;
    }
    if (m_role == Role::Leader) {
        m_leaving.insert(m_self);
        return;
    }
    if (m_leaveRequestedAt && now - *m_leaveRequestedAt < LeaveInterval) {
        return;
    }
    m_leaveRequestedAt = now;
    // To all, since a replica that has been removed does not learn of a new leader.
    for (const Member &member : m_log.membership().members) {
        if (member.id != m_self) {
            m_output.messages.push_back(makeMessage(RaftKind::LeaveRequest, member.id, now));
        }
    }
}

void RaftCore::handleLeaveRequest(const RaftMessage &message, Instant now)
{
    if (m_role != Role::Leader || m_commit < m_termStart) {
        return;
    }
    if (m_log.membership().find(message.from) != nullptr) {
        m_leaving.insert(message.from);
    } else if (m_commit >= m_log.membershipIndex()) {
        m_output.messages.push_back(makeMessage(RaftKind::LeaveReply, message.from, now));
    }
}

void RaftCore::handleLeaveReply(const RaftMessage & /*message*/, Instant /*now*/)
{
    m_hasLeft = m_isLeaving;
}

void RaftCore::manageMembership(Instant now)
{
    // A membership change waits until the previous one and an entry of this term are committed. Otherwise two leaders could
    // change the same membership into two whose quorums do not overlap.
    if (m_commit < m_log.membershipIndex() || m_commit < m_termStart) {
        return;
    }
    const Membership &membership = m_log.membership();
    if (membership.find(m_self) == nullptr) {
        becomeFollower(m_hardState.term, std::nullopt, now); // it has led until its own removal was committed
        return;
    }
    std::erase_if(m_leaving, [&membership](const ReplicaId &id) { return membership.find(id) == nullptr; });
    std::erase_if(m_joiners, [now](const auto &row) { return now - row.second.provenAt > JoinerLifetime; });
    if (!isEven(membership.voterCount())) {
        m_replacementStartedAt.reset();
    }
    const std::vector<ReplicaId> learners = promotableLearners(now);
    if (!admitJoiner(now) && !removeReplica(learners, now) && !promoteLearner(learners, now)) {
        demoteExcessVoter(now);
    }
}

bool RaftCore::promoteLearner(const std::vector<ReplicaId> &learners, Instant now)
{
    const std::size_t voters = m_log.membership().voterCount();
    // The number of voters stays odd: an even one needs a larger majority but survives no more losses.
    const bool isWanted = m_voterTarget == 0 || voters < m_voterTarget || isEven(voters) || learners.size() >= 2 || isVoterLeaving();
    if (learners.empty() || !isWanted) {
        return false;
    }
    if (m_voterTarget != 0 && voters >= m_voterTarget && isVoterLeaving()) {
        m_replacementStartedAt = now;
    }
    setVoter(learners.front(), true, now);
    return true;
}

std::vector<ReplicaId> RaftCore::promotableLearners(Instant now)
{
    std::vector<ReplicaId> learners;
    for (const Member &member : m_log.membership().members) {
        Progress *row = m_progress.find(member.id);
        if (member.isVoter || row == nullptr || m_leaving.contains(member.id)) {
            continue;
        }
        if (hasCaughtUp(*row, now) && now - row->lastContactAt < m_timing.election) {
            learners.push_back(member.id);
        }
    }
    return learners;
}

bool RaftCore::hasCaughtUp(Progress &row, Instant now) const
{
    // While changes are accepted in quick succession, a learner never has all of them at once. So it has also caught up when the
    // entries committed at some moment were synced on it within an election timeout (Ongaro's thesis, section 4.2.1).
    const bool isRoundOver = row.roundEnd != LogIndex() && row.match >= row.roundEnd;
    const bool isRoundShort = isRoundOver && now - row.roundStartedAt < m_timing.election;
    if (isRoundOver || row.roundEnd == LogIndex()) {
        row.roundEnd = m_commit;
        row.roundStartedAt = now;
    }
    return isRoundShort || row.match >= m_commit;
}

bool RaftCore::isVoterLeaving() const
{
    return std::any_of(m_leaving.begin(), m_leaving.end(), [this](const ReplicaId &id) { return m_log.membership().isVoter(id); });
}

bool RaftCore::demoteExcessVoter(Instant now)
{
    const Membership &membership = m_log.membership();
    const std::size_t voters = membership.voterCount();
    if (m_voterTarget == 0 || voters <= m_voterTarget || !isEven(voters) || isVoterLeaving()) {
        return false;
    }
    const auto it = std::find_if(membership.members.rbegin(), membership.members.rend(),
                                 [this](const Member &member) { return member.isVoter && member.id != m_self; });
    setVoter(ReplicaId(it->id), false, now);
    return true;
}

void RaftCore::setVoter(const ReplicaId &id, bool isVoter, Instant now)
{
    Membership membership = m_log.membership();
    const auto it =
        std::find_if(membership.members.begin(), membership.members.end(), [&id](const Member &member) { return member.id == id; });
    it->isVoter = isVoter;
    proposeMembership(std::move(membership), now);
}

bool RaftCore::admitJoiner(Instant now)
{
    while (!m_joiners.empty()) {
        const Member joiner = m_joiners.begin()->second.member;
        m_joiners.erase(m_joiners.begin());
        Membership membership = m_log.membership();
        const Member *present = membership.findInstance(joiner.id.instance);
        if (present != nullptr && present->id == joiner.id) {
            continue;
        }
        const Progress *row = present == nullptr ? nullptr : m_progress.find(present->id);
        if (row != nullptr && now - row->lastContactAt < m_timing.election) {
            // The joiner repeats its request.
            m_refusedJoiners[joiner.id] = AdmissionRefusal::PreviousReplicaResponds;
            continue;
        }
        if (present != nullptr) {
            // The instance now runs with another store. The old replica is removed first; the new one repeats its request.
            membership.members.erase(membership.members.begin() + (present - membership.members.data()));
        } else if (membership.members.size() < MaxReplicas) {
            membership.members.push_back(joiner);
        } else {
            m_refusedJoiners[joiner.id] = AdmissionRefusal::ClusterFull;
            continue;
        }
        proposeMembership(std::move(membership), now);
        return true;
    }
    return false;
}

bool RaftCore::removeReplica(const std::vector<ReplicaId> &learners, Instant now)
{
    const std::optional<ReplicaId> removed = findRemovable(learners, now);
    if (!removed) {
        return false;
    }
    Membership membership = m_log.membership();
    if (m_voterTarget != 0 && membership.isVoter(*removed) && membership.voterCount() == m_voterTarget) {
        m_replacementStartedAt = now;
    }
    std::erase_if(membership.members, [&removed](const Member &member) { return member.id == *removed; });
    proposeMembership(std::move(membership), now);
    return true;
}

std::optional<ReplicaId> RaftCore::findRemovable(const std::vector<ReplicaId> &learners, Instant now)
{
    const Membership &membership = m_log.membership();
    const std::size_t voters = membership.voterCount();
    const bool hasExcess = m_voterTarget != 0 && membership.members.size() > m_voterTarget;
    const auto isSilent = [&](const Member &member) {
        const Progress *row = m_progress.find(member.id);
        return row != nullptr && now - row->lastContactAt >= m_timing.election;
    };
    const auto isRetired = [&](const Member &member) {
        return std::find(m_retired.begin(), m_retired.end(), member.id) != m_retired.end() && isSilent(member);
    };
    // A voter that still responds keeps its vote until its successor has one. A silent one cannot vote, so it is removed first, but only
    // when its successor has caught up: until then, the removal would gain nothing.
    const auto isLeaving = [&](const Member &member) {
        return hasExcess && m_leaving.contains(member.id) && (!member.isVoter || voters > m_voterTarget);
    };
    const auto isSilentLearner = [&](const Member &member) { return hasExcess && !member.isVoter && isSilent(member); };
    const bool hasSuccessor = voters > m_voterTarget || (voters == m_voterTarget && !learners.empty());
    const auto isReplaceable = [&](const Member &member) { return hasExcess && hasSuccessor && member.isVoter && isSilent(member); };
    const std::vector<std::function<bool(const Member &)>> conditions { isRetired, isLeaving, isSilentLearner, isReplaceable };
    for (const auto &condition : conditions) {
        const auto it = std::find_if(membership.members.begin(), membership.members.end(), condition);
        if (it != membership.members.end()) {
            return it->id;
        }
    }
    return std::nullopt;
}

void RaftCore::proposeMembership(Membership membership, Instant now)
{
    membership.isFormed = membership.isFormed || membership.voterCount() >= membership.target;
    LogEntry entry;
    entry.kind = EntryKind::MembershipChange;
    entry.membership = std::move(membership);
    appendEntry(std::move(entry), now);
    broadcast(now);
}

}
