#pragma once

#include <map>
#include <set>
#include <string>

#include "simulation.h"

namespace Galenabarrow::Control
{

/// Checks after each step what must hold in every history; throws std::logic_error with what was broken.
class Invariants
{
public:
    explicit Invariants(Simulation &simulation);

    /// Reads the states of all replicas and entries and the results that arrived.
    void check();
    /// After everything was healed: all replicas and entries agree on the same table.
    void checkAgreement();
    std::size_t acceptedCount() const;

private:
    struct Change {
        ChangeId id;
        Duration firstSeen {};
    };
    using Key = std::pair<CustomerId, Version>;
    /// What is known about one life of an entry.
    struct EntryView {
        std::uint64_t startCount = 0;
        std::uint64_t tableChanges = 0;
        std::map<CustomerId, Version> versions;
        /// It holds the changes before this position of m_changeOrder.
        std::size_t firstMissing = 0;
    };
    void recordChange(const ContractRecord &record, const std::string &where);
    void checkReplica(const std::string &name);
    void checkEntry(const std::string &name);
    void checkTable(const std::string &name, EntryView &view);
    void checkResults();
    void checkResult(const std::string &tag, const ProposalResult &result);

    Simulation &m_simulation;
    /// Which change made a version, as any replica or entry ever held it.
    std::map<Key, Change> m_changes;
    std::map<CustomerId, Version> m_latestVersions;
    std::map<LogIndex, std::size_t> m_stateHashes;
    std::map<std::string, std::pair<std::uint64_t, LogIndex>> m_replicas;
    std::map<std::string, EntryView> m_entries;
    /// All changes in the order in which they were first seen.
    std::vector<Key> m_changeOrder;
    std::size_t m_checkedResults = 0;
    std::map<ChangeId, ProposalResult> m_firstResults;
    std::map<std::string, InstanceId> m_claims;
    /// Changes whose result says that they are not in force.
    std::set<ChangeId> m_refused;
};

}
