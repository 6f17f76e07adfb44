#include "control/raftjoin.h"

#include <algorithm>
#include <utility>

namespace Galenabarrow::Control
{

namespace
{
constexpr Duration ChallengeLifetime = std::chrono::seconds(2);
/// A contact that nobody has named for this time is not asked any more; many rounds of requests.
constexpr Duration ReferralLifetime = std::chrono::seconds(5);
/// Twice the maximum number of replicas; further contacts are ignored until earlier ones lapse.
constexpr std::size_t MaxReferrals = 14;
}

RaftJoin::RaftJoin(ReplicaId self, std::vector<InstanceId> peers, bool bootstrap, Duration interval, RandomSource &random,
                   Admission admission)
    : m_self(std::move(self))
    , m_peers(std::move(peers))
    , m_isBootstrapPermitted(bootstrap)
    , m_interval(interval)
    , m_random(random)
    , m_admission(admission)
{
    std::erase(m_peers, m_self.instance);
    m_firstPeers = m_peers;
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
    std::erase_if(m_referrals, [now](const auto &row) { return now - row.second.heardAt > ReferralLifetime; });
    m_attempt->asked = m_peers;
    for (const auto &[instance, referral] : m_referrals) {
        if (!isPeer(instance)) {
            m_attempt->asked.push_back(instance);
        }
    }
    m_round = m_random.next() | 1U; // 0 means no round
    m_roundStartedAt = now;
    m_emptyInstances.clear();
    std::vector<RaftMessage> messages;
    for (const InstanceId &it : m_attempt->asked) {
        messages.push_back(makeRequest(it, view));
    }
    return messages;
}

void RaftJoin::recordMember(const InstanceId &member, Instant now)
{
    if (m_admission == Admission::Open && m_attempt) {
        recordReferral(member, true, now);
    }
}

std::vector<RaftMessage> RaftJoin::receive(const RaftMessage &message, const View &view, Instant now)
{
    const bool isAdmitted = isPeer(message.from.instance) || m_admission == Admission::Open;
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
    return handleReply(message, view, now);
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
    if (!m_isBootstrapPermitted || !view.isEmpty || m_hasSeenCluster || !isRoundOpen) {
        return false;
    }
    const bool areAllEmpty =
        std::all_of(m_firstPeers.begin(), m_firstPeers.end(), [this](const InstanceId &it) { return m_emptyInstances.contains(it); });
    const bool isLowest =
        std::all_of(m_firstPeers.begin(), m_firstPeers.end(), [this](const InstanceId &it) { return m_self.instance < it; });
    return areAllEmpty && (isLowest || mayReplaceLowest());
}

bool RaftJoin::mayReplaceLowest() const
{
    return std::all_of(m_firstPeers.begin(), m_firstPeers.end(), [this](const InstanceId &it) {
        const FirstStart answer = m_emptyInstances.at(it);
        return answer == FirstStart::NotPermitted || (answer == FirstStart::Permitted && m_self.instance < it);
    });
}

FirstStart RaftJoin::firstStart() const
{
    if (m_hasSeenCluster) {
        return FirstStart::ClusterSeen;
    }
    return m_isBootstrapPermitted ? FirstStart::Permitted : FirstStart::NotPermitted;
}

std::vector<RaftMessage> RaftJoin::handleRequest(const RaftMessage &message, const View &view, Instant now)
{
    RaftMessage reply = makeMessage(RaftKind::JoinReply, message.from);
    reply.round = message.round;
    reply.isEmpty = view.isEmpty;
    reply.firstStart = firstStart();
    reply.contacts = knownContacts(view, now);
    if (view.isLeader) {
        std::erase_if(m_issuedChallenges, [now](const auto &row) { return now - row.second.second.issuedAt > ChallengeLifetime; });
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

std::vector<RaftMessage> RaftJoin::handleReply(const RaftMessage &message, const View &view, Instant now)
{
    if (message.to != m_self) {
        return {};
    }
    std::vector<RaftMessage> requests;
    for (const InstanceId &it : recordReferrals(message, now)) {
        requests.push_back(makeRequest(it, view));
    }
    const bool isOfThisRound = message.round == m_round && now - m_roundStartedAt <= m_interval;
    // A challenge is for this store and has a lifetime of its own, so it is also taken from a leader that responds slowly.
    if (isOfThisRound || message.challenge != 0) {
        m_receivedChallenges[message.from.instance] = message.challenge;
    }
    if (!isOfThisRound) {
        return requests;
    }
    if (!message.isEmpty) {
        m_hasSeenCluster = true;
    } else {
        m_emptyInstances[message.from.instance] = message.firstStart;
    }
    return requests;
}

std::vector<InstanceId> RaftJoin::knownContacts(const View &view, Instant now) const
{
    std::vector<InstanceId> contacts;
    if (view.isMember && view.membership != nullptr) {
        for (const Member &it : view.membership->members) {
            contacts.push_back(it.id.instance);
        }
        return contacts;
    }
    for (const auto &[instance, referral] : m_referrals) {
        if (referral.heardFromMemberAt && now - *referral.heardFromMemberAt <= ReferralLifetime) {
            contacts.push_back(instance);
        }
    }
    return contacts;
}

std::vector<InstanceId> RaftJoin::recordReferrals(const RaftMessage &message, Instant now)
{
    std::vector<InstanceId> added;
    if (m_admission != Admission::Open || !m_attempt) {
        return added;
    }
    const std::vector<InstanceId> &contacts = message.contacts;
    const bool isFromMember = std::find(contacts.begin(), contacts.end(), message.from.instance) != contacts.end();
    for (const InstanceId &it : contacts) {
        if (recordReferral(it, isFromMember, now) && !isPeer(it)) {
            added.push_back(it);
        }
    }
    return added;
}

bool RaftJoin::recordReferral(const InstanceId &instance, bool isFromMember, Instant now)
{
    const bool isKnown = m_referrals.contains(instance);
    if (instance == m_self.instance || (!isKnown && m_referrals.size() >= MaxReferrals)) {
        return false;
    }
    Referral &referral = m_referrals[instance];
    referral.heardAt = now;
    referral.heardFromMemberAt = isFromMember ? now : referral.heardFromMemberAt;
    return !isKnown;
}

bool RaftJoin::isPeer(const InstanceId &instance) const
{
    return std::find(m_peers.begin(), m_peers.end(), instance) != m_peers.end();
}

RaftMessage RaftJoin::makeRequest(const InstanceId &to, const View &view)
{
    RaftMessage message = makeMessage(RaftKind::JoinRequest, ReplicaId { to, {} });
    message.round = m_round;
    message.challenge = m_receivedChallenges[to];
    message.isEmpty = view.isEmpty;
    return message;
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
