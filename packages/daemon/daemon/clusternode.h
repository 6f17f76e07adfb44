#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "base/random.h"
#include "control/feedclient.h"
#include "control/proposalclient.h"
#include "membership/directory.h"
#include "membership/gossipcore.h"
#include "membership/membershiptable.h"
#include "settings/daemonsettings.h"
#include "wire/peernetwork.h"

namespace Galenabarrow::Daemon
{

/// The name, data centre, addresses and roles of an instance.
struct Identity {
    InstanceId instance;
    DataCentreId dataCentre;
    /// Random for each process, so that action keys are bound to one process of the instance.
    Incarnation incarnation;
    std::string callerAddress;
    std::string peerAddress;
    std::uint8_t roles = 0;
};

/// The components that every instance has: membership, the contract feed and the client for proposals to control. Guarded
/// by one lock, which also guards the call engine of an entry.
class ClusterNode
{
public:
    ClusterNode(const Settings::DaemonSettings &settings, Identity identity, Wire::PeerNetwork &network, std::mutex &lock,
                const Clock &clock);

    /// Handles a message of gossip, feed or proposals; call it with the lock held.
    void receive(const Wire::Envelope &envelope, Instant now);
    /// Call it with the lock held, every few milliseconds.
    void tick(Instant now);
    /// Sends the pending messages of gossip, feed and proposals; call it with the lock held after a change that should be
    /// sent at once.
    void flush(Instant now);
    /// Blocks until \p command is decided or \p timeout has passed; call it without the lock.
    Control::ProposalResult propose(const Control::Command &command, Duration timeout);
    /// Sends a proposal without waiting for its result; with the lock held.
    Control::ProposalTicket startProposal(const Control::Command &command, Duration timeout);
    /// Removes and returns the result of a started proposal; nothing while it is undecided. With the lock held.
    std::optional<Control::ProposalResult> takeResult(Control::ProposalTicket ticket);

    // With the lock held:
    Control::FeedClient &feed();
    Membership::MembershipTable &members();
    Membership::GossipCore &gossip();
    Membership::Directory &directory();
    RandomSource &random();
    /// Increases with each change of the contract table or the registered entries.
    std::uint64_t feedChanges() const;
    /// True when calls must be refused, because the contract table is too old or the membership has not caught up yet.
    bool isFenced(Instant now) const;

    const Identity &identity() const;
    std::vector<Control::ControlPeer> controls() const;

private:
    void send(const std::vector<Control::Outgoing> &messages);
    void send(const std::vector<Membership::GossipMessage> &messages);
    void applyFeedChange();
    void updateCatchUp(Instant now);

    Identity m_identity;
    Wire::PeerNetwork &m_network;
    std::mutex &m_lock;
    const Clock &m_clock;
    bool m_serveWhenStale;
    Log m_log { "cluster" };
    SeededRandom m_random;
    Membership::MembershipTable m_members;
    Membership::GossipCore m_gossip;
    Membership::Directory m_directory;
    std::vector<Control::ControlPeer> m_controls;
    Control::FeedClient m_feed;
    Control::ProposalClient m_proposals;
    std::uint64_t m_feedChanges = 0;
    std::condition_variable m_resultArrived;
    std::map<Control::ProposalTicket, Control::ProposalResult> m_results;
};

/// The control instances that the settings name.
std::vector<Control::ControlPeer> controlPeers(const Settings::DaemonSettings &settings);

}
