#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "membership/gossipcore.h"
#include "testnetwork/lossynetwork.h"
#include "wire/frame.h"

namespace Galenabarrow::Membership
{

inline ServerAnnouncement serverAnnouncement(const std::string &server, std::uint64_t sequence, bool leaving = false)
{
    const ServerInfo info { ServiceId("order-desk"), "10.0.0.1:80", DataCentreId("north"), 3, false };
    return { ServerId(server), Incarnation(100), SequenceNumber(sequence), 0, leaving, info };
}

inline RecordKey serverKey(const std::string &server)
{
    return { RecordKind::Server, server };
}

inline Record instanceRecord(std::size_t n, std::uint64_t incarnation)
{
    Record record;
    record.key = { RecordKind::Instance, "entry-" + std::to_string(10 + n) };
    record.incarnation = Incarnation(incarnation);
    const std::string host = "10.0.0." + std::to_string(10 + n);
    record.body = InstanceInfo {
        EntryRole, host + ":8080", host + ":7000", DataCentreId("dc" + std::to_string(n % 3)), record.key.id + ".0123456789abcdef.1", true
    };
    return record;
}

/// Runs gossip cores over a simulated network with faults, in steps of one tick, and counts the bytes of whole frames.
class Cluster
{
public:
    static constexpr Duration Tick = std::chrono::milliseconds(20);

    Cluster(std::size_t nodes, std::uint64_t seed)
        : m_random(seed)
        , m_network(m_random)
        , m_nodes(nodes)
    {
        for (std::size_t n = 0; n < nodes; ++n) {
            start(n, 1000);
        }
    }

    void start(std::size_t n, std::uint64_t incarnation)
    {
        GossipSettings settings;
        settings.seeds = { addressOf(0), addressOf(1) };
        m_nodes[n].table = std::make_unique<MembershipTable>(TableLimits {});
        m_nodes[n].core = std::make_unique<GossipCore>(settings, instanceRecord(n, incarnation), *m_nodes[n].table, m_random, m_now);
    }

    void stop(std::size_t n)
    {
        m_nodes[n].core.reset();
    }

    void step()
    {
        m_now += Tick;
        for (const auto &it : m_network.takeArrived(m_now)) {
            if (m_nodes[it.to].core) {
                auto answers = m_nodes[it.to].core->receive(it.message, m_now);
                post(it.to, *answers);
            }
        }
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            if (m_nodes[n].core) {
                post(n, m_nodes[n].core->onTick(m_now));
            }
        }
    }

    void run(Duration time)
    {
        for (const Instant end = m_now + time; m_now < end;) {
            step();
        }
    }

    GossipCore &core(std::size_t n)
    {
        return *m_nodes[n].core;
    }

    MembershipTable &table(std::size_t n)
    {
        return *m_nodes[n].table;
    }

    TestNetwork::LinkFaults &faults()
    {
        return m_network.faults();
    }

    /// True when the tables of all running nodes have the same summary.
    bool isConverged() const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(),
                           [this](const Node &it) { return !it.core || it.table->summary() == m_nodes.front().table->summary(); });
    }

    std::size_t size() const
    {
        return m_nodes.size();
    }

    Instant now() const
    {
        return m_now;
    }

    RandomSource &random()
    {
        return m_random;
    }

    /// Bytes sent by all nodes since the start.
    std::uint64_t bytesSent() const
    {
        return m_bytesSent;
    }

private:
    struct Node {
        std::unique_ptr<MembershipTable> table;
        std::unique_ptr<GossipCore> core;
    };

    static std::string addressOf(std::size_t n)
    {
        return "10.0.0." + std::to_string(10 + n) + ":7000";
    }

    void post(std::size_t from, const std::vector<GossipMessage> &messages)
    {
        for (const GossipMessage &it : messages) {
            const Wire::Envelope envelope {
                InstanceId("entry-" + std::to_string(10 + from)), addressOf(from), Incarnation(5), 0, it.kind, it.payload
            };
            m_bytesSent += Wire::encode(envelope).size() + Wire::FrameHeaderSize;
            const std::size_t to = std::stoul(it.address.substr(it.address.rfind('.') + 1)) - 10;
            m_network.send(from, to, envelope, m_now);
        }
    }

    SeededRandom m_random;
    TestNetwork::LossyNetwork<Wire::Envelope> m_network;
    std::vector<Node> m_nodes;
    Instant m_now = Instant(std::chrono::hours(1));
    std::uint64_t m_bytesSent = 0;
};

}
