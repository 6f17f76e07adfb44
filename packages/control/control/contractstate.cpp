#include "control/contractstate.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "control/codecparts.h"

namespace Galenabarrow::Control
{

namespace
{

/// Stored with the result of an abandoned change: matches every later copy of the change.
constexpr std::uint64_t AnyFingerprint = 0;

ProposalResult resultOf(ResultCode code, const Version &version = {}, const ChangeId &winner = {})
{
    return { code, version, winner, {}, {} };
}

std::size_t approximateSize(const ContractRecord &record)
{
    constexpr std::size_t FixedSize = 160;
    constexpr std::size_t ServiceSize = 64;
    std::size_t size = FixedSize + record.contract.customer.value().size() + record.change.value().size();
    for (const ServiceTerms &it : record.contract.services) {
        size += ServiceSize + it.service.value().size();
        for (const std::string &path : it.idempotentPaths) {
            size += path.size() + sizeof(std::uint64_t);
        }
    }
    return size;
}

}

/// Dispatches a command. All commands but claims and abandonments are applied at most once per change id.
struct ContractState::Applier {
    ContractState &state;
    const LogEntry &entry;
    std::uint64_t fingerprint;

    ProposalResult operator()(const ContractChange &it) const
    {
        return applyOnce(it.id, [&] { return state.change(it); });
    }
    ProposalResult operator()(const KeyClaim &it) const
    {
        return state.claim(it, entry.time);
    }
    ProposalResult operator()(const EntryRegistration &it) const
    {
        return applyOnce(it.id, [&] { return state.registerEntry(it); });
    }
    ProposalResult operator()(const EntryRemoval &it) const
    {
        return applyOnce(it.id, [&] { return state.removeEntry(it); });
    }
    ProposalResult operator()(const ChangeAbandonment &it) const
    {
        const auto known = state.m_results.find(it.id);
        if (known != state.m_results.end()) {
            return known->second.result;
        }
        ProposalResult result = resultOf(ResultCode::NotAccepted);
        state.storeResult(it.id, AnyFingerprint, result);
        return result;
    }

    template<typename Function>
    ProposalResult applyOnce(const ChangeId &id, Function function) const
    {
        if (const auto known = state.findResult(id, fingerprint)) {
            return *known;
        }
        ProposalResult result = function();
        state.storeResult(id, fingerprint, result);
        return result;
    }
};

ProposalResult ContractState::apply(const LogEntry &entry)
{
    m_applied = entry.index;
    if (entry.kind != EntryKind::Proposal) {
        return {};
    }
    const Result<Command> command = decodeCommand(entry.command);
    if (!command) {
        return resultOf(ResultCode::InternalError);
    }
    // The bytes in the log are identical on all replicas, and so is the fingerprint.
    const std::uint64_t fingerprint = XXH3_64bits(entry.command.data(), entry.command.size()) | 1U;
    return std::visit(Applier { *this, entry, fingerprint }, *command);
}

LogIndex ContractState::appliedIndex() const
{
    return m_applied;
}

const std::map<CustomerId, ContractRecord> &ContractState::contracts() const
{
    return m_contracts;
}

std::vector<RegisteredEntry> ContractState::registeredEntries() const
{
    std::vector<RegisteredEntry> entries;
    for (const auto &[instance, entry] : m_entries) {
        entries.push_back(entry);
    }
    return entries;
}

const KeyClaim *ContractState::findClaim(const std::string &key) const
{
    const auto it = m_claims.find(key);
    return it == m_claims.end() ? nullptr : &it->second.claim;
}

FeedReply ContractState::changesAfter(LogIndex after, std::size_t maxBytes) const
{
    FeedReply reply;
    reply.after = after;
    reply.upTo = m_applied;
    reply.cursor = m_applied;
    std::size_t bytes = 0;
    for (auto it = m_byChange.upper_bound(after); it != m_byChange.end(); ++it) {
        const ContractRecord &record = m_contracts.at(it->second);
        bytes += approximateSize(record);
        if (bytes > maxBytes && !reply.contracts.empty()) {
            reply.cursor = LogIndex(it->first.value() - 1);
            reply.more = true;
            break;
        }
        reply.contracts.push_back(record);
    }
    if (m_entriesChangedAt > after) {
        reply.entries = registeredEntries();
    }
    return reply;
}

std::optional<ProposalResult> ContractState::findResult(const ChangeId &id, std::uint64_t fingerprint) const
{
    const auto it = m_results.find(id);
    if (it == m_results.end()) {
        return std::nullopt;
    }
    const bool isSame = it->second.fingerprint == fingerprint || it->second.fingerprint == AnyFingerprint;
    return isSame ? it->second.result : resultOf(ResultCode::ChangeIdReused);
}

void ContractState::storeResult(const ChangeId &id, std::uint64_t fingerprint, const ProposalResult &result)
{
    m_results[id] = StoredResult { fingerprint, result };
    m_resultOrder.push_back(id);
    if (m_resultOrder.size() > MaxKeptResults) {
        m_results.erase(m_resultOrder.front());
        m_resultOrder.pop_front();
    }
}

ProposalResult ContractState::change(const ContractChange &change)
{
    const bool isPut = change.kind == ContractChange::Kind::Put;
    if (change.customer.value().empty() || (isPut && change.contract.customer != change.customer)) {
        return resultOf(ResultCode::ContractInvalid);
    }
    const auto it = m_contracts.find(change.customer);
    const bool exists = it != m_contracts.end();
    const Version inForce = exists ? it->second.contract.version : Version();
    if (change.expected != inForce) {
        return resultOf(ResultCode::VersionConflict, inForce, exists ? it->second.change : ChangeId());
    }
    if (!isPut && (!exists || it->second.withdrawn)) {
        return resultOf(ResultCode::ContractNotFound, inForce);
    }
    ContractRecord record { change.contract, !isPut, change.id };
    if (!isPut) {
        // A tombstone keeps the version, so that a late write with an older version conflicts.
        record.contract = Contract {};
        record.contract.customer = change.customer;
    }
    record.contract.version = next(inForce);
    const Version version = record.contract.version;
    setRecord(std::move(record));
    return resultOf(ResultCode::Ok, version);
}

void ContractState::setRecord(ContractRecord record)
{
    const CustomerId customer = record.contract.customer;
    m_byChange.erase(m_changedAt[customer]);
    m_changedAt[customer] = m_applied;
    m_byChange[m_applied] = customer;
    m_contracts[customer] = std::move(record);
}

ProposalResult ContractState::claim(const KeyClaim &claim, Duration time)
{
    auto it = m_claims.find(claim.key);
    if (it == m_claims.end()) {
        if (m_claimOrder.size() >= MaxKeptClaims) {
            if (time - m_claims.at(m_claimOrder.front()).time < ClaimLifetime) {
                return resultOf(ResultCode::KeyWindowClosed);
            }
            m_claims.erase(m_claimOrder.front());
            m_claimOrder.pop_front();
        }
        it = m_claims.emplace(claim.key, TimedClaim { claim, time }).first;
        m_claimOrder.push_back(claim.key);
    }
    ProposalResult result;
    result.owner = it->second.claim.owner;
    result.ownerIncarnation = it->second.claim.incarnation;
    return result;
}

ProposalResult ContractState::registerEntry(const EntryRegistration &registration)
{
    m_entries[registration.entry.instance] = registration.entry;
    m_entriesChangedAt = m_applied;
    return resultOf(ResultCode::Ok);
}

ProposalResult ContractState::removeEntry(const EntryRemoval &removal)
{
    m_entries.erase(removal.instance);
    m_entriesChangedAt = m_applied;
    return resultOf(ResultCode::Ok);
}

}
