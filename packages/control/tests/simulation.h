#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "control/controlservice.h"
#include "control/feedclient.h"
#include "control/memorylogstore.h"

namespace Galenabarrow::Control
{

/// Simulates control instances, entries and an operator on an in-memory network, in steps of 5 ms. The seed determines the run.
class Simulation
{
public:
    /// Delays, losses and duplicates of messages.
    struct Network {
        Duration minDelay = std::chrono::milliseconds(1);
        Duration maxDelay = std::chrono::milliseconds(2);
        double lossRate = 0;
        double duplicateRate = 0;
    };
    struct Control {
        std::shared_ptr<MemoryDisk> disk;
        std::unique_ptr<ControlService> service;
        /// The replica has become a voter since its store was created.
        bool hasIntactStore = false;
    };

    Simulation(std::uint64_t seed, std::size_t controlCount, std::size_t entryCount, std::uint64_t entriesPerSnapshot = 2000);

    void advanceTo(Duration time);
    void advance(Duration time);
    Duration now() const;

    // faults
    void crash(const std::string &name);
    void restart(const std::string &name);
    void loseDisk(const std::string &name);
    void freeze(const std::string &name);
    void thaw(const std::string &name);
    void cutOneWay(const std::string &from, const std::string &to);
    void cut(const std::string &a, const std::string &b);
    void isolate(const std::string &name);
    void healNetwork();
    void restartEntry(const std::string &name);
    Network network;

    /// Proposes on a control instance; the result is added to results under \p tag.
    void proposeAt(const std::string &control, const std::string &tag, const Command &command);
    std::map<std::string, std::vector<ProposalResult>> results;
    /// All results in the order of their arrival.
    std::vector<std::pair<std::string, ProposalResult>> resultOrder;
    /// Proposes as a remote operator; the result is added to results under \p tag.
    void proposeRemotely(const std::string &tag, const Command &command, Duration timeout);

    /// The leader with the highest term; empty without one.
    std::string leader() const;
    ControlStatus status(const std::string &control) const;
    Instant timeAt(const std::string &name) const;
    bool isRunning(const std::string &name) const;
    std::map<std::string, Control> controls;
    std::map<std::string, std::unique_ptr<FeedClient>> entries;
    std::unique_ptr<ProposalClient> operatorClient;
    SeededRandom random;
    /// Number of starts of each process.
    std::map<std::string, std::uint64_t> startCounts;
    /// Number of feed replies that changed the table of an entry.
    std::map<std::string, std::uint64_t> tableChanges;
    std::uint64_t messageCount = 0;
    std::uint64_t byteCount = 0;
    /// Called after each step.
    std::function<void()> onStep;

private:
    struct Message {
        std::string from;
        std::string to;
        Wire::Envelope envelope;
    };
    void start(const std::string &name);
    void step();
    void deliver(const Message &message);
    void deliverDue();
    void recordResult(const std::string &name, const FinishedProposal &finished);
    void collectOutput(const std::string &name);
    void send(const std::string &from, std::vector<Outgoing> outgoing);
    std::vector<ControlPeer> peers() const;

    Duration m_now {};
    std::size_t m_controlCount;
    std::uint64_t m_entriesPerSnapshot;
    std::multimap<Duration, Message> m_messages;
    std::map<std::string, std::vector<Message>> m_queuedForFrozen;
    std::set<std::string> m_frozen;
    std::set<std::pair<std::string, std::string>> m_cutLinks;
    /// Each process has its own clock, with a new random offset after a restart.
    std::map<std::string, Duration> m_clockOffsets;
    std::map<std::pair<std::string, ProposalTicket>, std::string> m_tags;
};

/// A change whose content is derived from its id.
ContractChange putChange(const std::string &customer, std::uint64_t expected, const std::string &id);
ContractChange withdrawChange(const std::string &customer, std::uint64_t expected, const std::string &id);

}
