#include "invariants.h"

#include <limits>
#include <stdexcept>
#include <string_view>

namespace Galenabarrow::Control
{

namespace
{

/// An entry that is not fenced has every change older than this. The design allows 7 s; the bound is the freshness limit of the
/// code plus two steps of the simulation.
constexpr Duration FreshnessBound = std::chrono::milliseconds(5010);

constexpr std::uint64_t LargeState = 100;

void require(bool condition, const std::string &what)
{
    if (!condition) {
        throw std::logic_error(what);
    }
}

std::size_t hashOf(const Bytes &bytes)
{
    return std::hash<std::string_view>()({ reinterpret_cast<const char *>(bytes.data()), bytes.size() });
}

bool isDecided(ResultCode code)
{
    return code != ResultCode::NoQuorum && code != ResultCode::NotLeader && code != ResultCode::ChangeOutcomeUnknown;
}

}

Invariants::Invariants(Simulation &simulation)
    : m_simulation(simulation)
{
}

void Invariants::check()
{
    for (const auto &[name, control] : m_simulation.controls) {
        if (control.service != nullptr) {
            checkReplica(name);
        }
    }
    for (const auto &[name, entry] : m_simulation.entries) {
        checkEntry(name);
    }
    checkResults();
}

void Invariants::checkAgreement()
{
    check();
    for (const auto &[customer, version] : m_latestVersions) {
        const Change &change = m_changes.at({ customer, version });
        for (const auto &[name, control] : m_simulation.controls) {
            const auto &table = control.service->state().contracts();
            require(table.contains(customer) && table.at(customer).change == change.id, name + " lacks " + change.id.value());
        }
        for (const auto &[name, entry] : m_simulation.entries) {
            const auto &table = entry->contracts();
            require(table.contains(customer) && table.at(customer).change == change.id, name + " lacks " + change.id.value());
        }
    }
    for (const auto &[key, change] : m_changes) {
        require(!m_refused.contains(change.id), change.id.value() + " is in force, but was rejected");
    }
}

std::size_t Invariants::acceptedCount() const
{
    return m_changes.size();
}

void Invariants::recordChange(const ContractRecord &record, const std::string &where)
{
    const CustomerId &customer = record.contract.customer;
    const Version version = record.contract.version;
    const auto [it, isNew] = m_changes.emplace(Key { customer, version }, Change { record.change, m_simulation.now() });
    require(it->second.id == record.change, where + " has another change for " + customer.value() + " than " + it->second.id.value());
    if (isNew) {
        require(version == next(m_latestVersions[customer]), where + " skipped or reverted a version of " + customer.value());
        m_latestVersions[customer] = version;
        m_changeOrder.emplace_back(customer, version);
    }
}

void Invariants::checkReplica(const std::string &name)
{
    const ContractState &state = m_simulation.controls.at(name).service->state();
    auto &[startCount, applied] = m_replicas[name];
    const bool isSameProcess = startCount == m_simulation.startCounts.at(name);
    if (isSameProcess && applied == state.appliedIndex()) {
        return;
    }
    require(!isSameProcess || state.appliedIndex() > applied, name + " went back to an older index");
    const LogIndex known = isSameProcess ? applied : LogIndex();
    for (const ContractRecord &record : state.changesAfter(known, std::numeric_limits<std::size_t>::max()).contracts) {
        recordChange(record, name);
    }
    startCount = m_simulation.startCounts.at(name);
    applied = state.appliedIndex();
    // Encoding large states after every entry takes too long.
    if (state.contracts().size() < LargeState || applied.value() % LargeState == 0) {
        const auto [it, isNew] = m_stateHashes.emplace(applied, hashOf(state.encodeImage()));
        require(isNew || it->second == hashOf(state.encodeImage()), name + ": diverging state at index " + std::to_string(applied.value()));
    }
}

void Invariants::checkEntry(const std::string &name)
{
    EntryView &view = m_entries[name];
    if (view.startCount != m_simulation.startCounts.at(name)) {
        view = EntryView { m_simulation.startCounts.at(name), 0, {}, 0 };
    }
    checkTable(name, view);
    const auto holds = [&](const Key &key) { return view.versions[key.first] >= key.second; };
    while (view.firstMissing < m_changeOrder.size() && holds(m_changeOrder[view.firstMissing])) {
        ++view.firstMissing;
    }
    if (view.firstMissing == m_changeOrder.size() || m_simulation.entries.at(name)->isFenced(m_simulation.timeAt(name))) {
        return;
    }
    const Change &lacking = m_changes.at(m_changeOrder[view.firstMissing]);
    require(m_simulation.now() - lacking.firstSeen <= FreshnessBound, name + " is not fenced and lacks " + lacking.id.value());
}

void Invariants::checkTable(const std::string &name, EntryView &view)
{
    if (view.tableChanges == m_simulation.tableChanges[name]) {
        return;
    }
    view.tableChanges = m_simulation.tableChanges[name];
    for (const auto &[customer, record] : m_simulation.entries.at(name)->contracts()) {
        recordChange(record, name);
        require(record.contract.version >= view.versions[customer], name + " went back to an older version of " + customer.value());
        view.versions[customer] = record.contract.version;
    }
}

void Invariants::checkResults()
{
    for (; m_checkedResults < m_simulation.resultOrder.size(); ++m_checkedResults) {
        const auto &[tag, result] = m_simulation.resultOrder[m_checkedResults];
        if (isDecided(result.code)) {
            checkResult(tag, result);
        }
    }
}

void Invariants::checkResult(const std::string &tag, const ProposalResult &result)
{
    if (tag.rfind("key:", 0) == 0) {
        const auto [claim, isNew] = m_claims.emplace(tag.substr(0, tag.find('@')), result.owner);
        require(claim->second == result.owner, "two owners of " + tag);
        return;
    }
    const ChangeId id(tag.substr(0, tag.find('@')));
    const auto [first, isNew] = m_firstResults.emplace(id, result);
    require(first->second == result, "a resend of " + tag + " got another result");
    if (result.code == ResultCode::Ok) {
        const auto it = m_changes.find({ CustomerId(tag.substr(0, tag.find('-'))), result.version });
        require(it != m_changes.end() && it->second.id == id, tag + " was accepted, but is not in force");
    } else {
        m_refused.insert(id);
    }
}

}
