#pragma once

#include <map>
#include <set>
#include <string>

#include "simulation.h"

namespace Galenabarrow::Control
{

/// Checks the invariants of every history after each step; throws std::logic_error with a description of a violation.
class Invariants
{
public:
    explicit Invariants(Simulation &simulation);

    /// Checks the states of all replicas and entries, and the results received since the last call.
    void check();
    /// Checks that all replicas and entries have the same table; to be called when all faults are over.
    void checkAgreement();
    std::size_t acceptedCount() const;

private:
    struct Change {
        ChangeId id;
        Duration firstSeen {};
    };
    using Key = std::pair<CustomerId, Version>;
    /// What was observed of an entry since its last start.
    struct EntryView {
        std::uint64_t startCount = 0;
        std::uint64_t tableChanges = 0;
        std::map<CustomerId, Version> versions;
        /// The entry has all changes before this position of m_changeOrder.
        std::size_t firstMissing = 0;
    };
    void recordChange(const ContractRecord &record, const std::string &where);
    void checkReplica(const std::string &name);
    void checkEntry(const std::string &name);
    void checkTable(const std::string &name, EntryView &view);
    void checkResults();
    void checkResult(const std::string &tag, const ProposalResult &result);

    Simulation &m_simulation;
    /// The change that created a version, as observed on any replica or entry.
    std::map<Key, Change> m_changes;
    std::map<CustomerId, Version> m_latestVersions;
    std::map<LogIndex, std::size_t> m_stateHashes;
    std::map<std::string, std::pair<std::uint64_t, LogIndex>> m_replicas;
    std::map<std::string, EntryView> m_entries;
    /// All changes in the order in which they were first observed.
    std::vector<Key> m_changeOrder;
    std::size_t m_checkedResults = 0;
    std::map<ChangeId, ProposalResult> m_firstResults;
    std::map<std::string, InstanceId> m_claims;
    /// Changes whose result is a rejection.
    std::set<ChangeId> m_refused;
};

}
