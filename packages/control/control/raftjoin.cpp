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
    , m_others(std::move(peers))
    , m_interval(interval)
    , m_random(random)
    , m_admission(admission)
{
    std::erase(m_others, m_self.instance);
    const bool isLowest = std::all_of(m_others.begin(), m_others.end(), [this](const InstanceId &it) { return m_self.instance < it; });
    m_mayStart = bootstrap && isLowest;
}

void RaftJoin::setPeers(std::vector<InstanceId> peers)
{
    m_others = std::move(peers);
    std::erase(m_others, m_self.instance);
}

std::vector<RaftMessage> RaftJoin::tick(const View &view, Instant now)
{
    const bool isSettled = view.isMember && view.hasLeader;
    if (isSettled || (m_round != 0 && now - m_roundAt < m_interval)) {
        return {};
    }
    m_round = m_random.next() | 1U; // 0 stands for no round
    m_roundAt = now;
    m_empty.clear();
    std::vector<RaftMessage> messages;
    for (const InstanceId &other : m_others) {
        RaftMessage message = makeMessage(RaftKind::JoinRequest, ReplicaId { other, {} });
        message.round = m_round;
        message.challenge = m_received[other];
        message.isEmpty = view.isEmpty;
        messages.push_back(std::move(message));
    }
    return messages;
}

std::vector<RaftMessage> RaftJoin::receive(const RaftMessage &message, const View &view, Instant now)
{
    const bool isNamed = std::find(m_others.begin(), m_others.end(), message.from.instance) != m_others.end();
    const bool isAdmitted = isNamed || m_admission == Admission::Open;
    if (!isAdmitted || message.to.instance != m_self.instance) {
        return {};
    }
    if (message.kind == RaftKind::JoinRequest) {
        return handleRequest(message, view, now);
    }
    handleReply(message, now);
    return {};
}

std::optional<ReplicaId> RaftJoin::takeJoiner()
{
    return std::exchange(m_joiner, std::nullopt);
}

bool RaftJoin::mayBootstrap(const View &view, Instant now) const
{
    const bool isRoundOpen = m_round != 0 && now - m_roundAt <= m_interval;
    return m_mayStart && view.isEmpty && !m_hasSeenCluster && isRoundOpen && m_empty.size() == m_others.size();
}

std::vector<RaftMessage> RaftJoin::handleRequest(const RaftMessage &message, const View &view, Instant now)
{
    RaftMessage reply = makeMessage(RaftKind::JoinReply, message.from);
    reply.round = message.round;
    reply.isEmpty = view.isEmpty;
    if (view.isLeader) {
        auto &[replica, challenge] = m_issued[message.from.instance];
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
    if (message.to != m_self || message.round != m_round || now - m_roundAt > m_interval) {
        return;
    }
    m_received[message.from.instance] = message.challenge;
    if (message.isEmpty) {
        m_empty.insert(message.from.instance);
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
