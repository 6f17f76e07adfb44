#include "control/raftjoin.h"

#include <algorithm>
#include <utility>

namespace Galenabarrow::Control
{

namespace
{
constexpr Duration ChallengeLifetime = std::chrono::seconds(2);
}

RaftJoin::RaftJoin(ReplicaId self, std::vector<InstanceId> peers, bool bootstrap, Duration interval, RandomSource &random,
                   Admission admission)
    : m_self(std::move(self))
    , m_peers(std::move(peers))
    , m_interval(interval)
    , m_random(random)
    , m_admission(admission)
{
    std::erase(m_peers, m_self.instance);
    const bool isLowest = std::all_of(m_peers.begin(), m_peers.end(), [this](const InstanceId &it) { return m_self.instance < it; });
    m_isBootstrapCandidate = bootstrap && isLowest;
}

void RaftJoin::setPeers(std::vector<InstanceId> peers)
{
    m_peers = std::move(peers);
    std::erase(m_peers, m_self.instance);
}

std::vector<RaftMessage> RaftJoin::tick(const View &view, Instant now)
{
    const bool isSettled = view.isMember && view.hasLeader;
    if (isSettled) {
        m_attempt.reset();
    }
    if (isSettled || (m_round != 0 && now - m_roundStartedAt < m_interval)) {
        return {};
    }
    if (!m_attempt) {
        m_attempt = Attempt { now, {}, {}, {} };
    }
    m_attempt->asked = m_peers;
    m_round = m_random.next() | 1U; // 0 means no round
    m_roundStartedAt = now;
    m_emptyPeers.clear();
    std::vector<RaftMessage> messages;
    for (const InstanceId &other : m_peers) {
        RaftMessage message = makeMessage(RaftKind::JoinRequest, ReplicaId { other, {} });
        message.round = m_round;
        message.challenge = m_receivedChallenges[other];
        message.isEmpty = view.isEmpty;
        messages.push_back(std::move(message));
    }
    return messages;
}

std::vector<RaftMessage> RaftJoin::receive(const RaftMessage &message, const View &view, Instant now)
{
    const bool isListed = std::find(m_peers.begin(), m_peers.end(), message.from.instance) != m_peers.end();
    const bool isAdmitted = isListed || m_admission == Admission::Open;
    if (!isAdmitted || message.to.instance != m_self.instance) {
        return {};
    }
    if (message.kind == RaftKind::JoinRequest) {
        return handleRequest(message, view, now);
    }
    if (m_attempt && message.to == m_self) {
        m_attempt->respondedAt[message.from.instance] = now;
        if (message.challenge != 0) {
            m_attempt->challengedAt[message.from.instance] = now;
        }
    }
    handleReply(message, now);
    return {};
}

const std::optional<RaftJoin::Attempt> &RaftJoin::attempt() const
{
    return m_attempt;
}

std::optional<ReplicaId> RaftJoin::takeJoiner()
{
    return std::exchange(m_joiner, std::nullopt);
}

bool RaftJoin::mayBootstrap(const View &view, Instant now) const
{
    const bool isRoundOpen = m_round != 0 && now - m_roundStartedAt <= m_interval;
    return m_isBootstrapCandidate && view.isEmpty && !m_hasSeenCluster && isRoundOpen && m_emptyPeers.size() == m_peers.size();
}

std::vector<RaftMessage> RaftJoin::handleRequest(const RaftMessage &message, const View &view, Instant now)
{
    RaftMessage reply = makeMessage(RaftKind::JoinReply, message.from);
    reply.round = message.round;
    reply.isEmpty = view.isEmpty;
    if (view.isLeader) {
        auto &[replica, challenge] = m_issuedChallenges[message.from.instance];
        const bool isOpen = replica == message.from && now - challenge.issuedAt < ChallengeLifetime;
        if (isOpen && message.challenge == challenge.value) {
            m_joiner = message.from;
        }
        if (!isOpen) {
            replica = message.from;
            challenge = Challenge { m_random.next() | 1U, now };
        }
        reply.challenge = challenge.value;
    }
    return { std::move(reply) };
}

void RaftJoin::handleReply(const RaftMessage &message, Instant now)
{
    if (message.to != m_self || message.round != m_round || now - m_roundStartedAt > m_interval) {
        return;
    }
    m_receivedChallenges[message.from.instance] = message.challenge;
    if (message.isEmpty) {
        m_emptyPeers.insert(message.from.instance);
    } else {
        m_hasSeenCluster = true;
    }
}

RaftMessage RaftJoin::makeMessage(RaftKind kind, ReplicaId to) const
{
    RaftMessage message;
    message.kind = kind;
    message.from = m_self;
    message.to = std::move(to);
    return message;
}

}
