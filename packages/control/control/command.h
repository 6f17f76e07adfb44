#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "base/id.h"
#include "base/resultcode.h"
#include "contract/contract.h"

namespace Galenabarrow::Control
{

/// Claims an action key that a caller made without a scope. The first claimant owns the key; a repeated claim returns
/// the same owner, so a claim needs no change id.
struct KeyClaim {
    std::string key;
    InstanceId owner;
    Incarnation incarnation;

    bool operator==(const KeyClaim &) const = default;
};

/// An entry that shares the limits of the contracts with the other registered entries.
struct RegisteredEntry {
    InstanceId instance;
    Incarnation incarnation;
    /// Where callers connect, as "host:port".
    std::string address;
    DataCentreId dataCentre;

    bool operator==(const RegisteredEntry &) const = default;
};

/// Registers an entry, or replaces the registration of the same instance.
struct EntryRegistration {
    ChangeId id;
    RegisteredEntry entry;

    bool operator==(const EntryRegistration &) const = default;
};

/// Removes the registration of an entry.
struct EntryRemoval {
    ChangeId id;
    InstanceId instance;

    bool operator==(const EntryRemoval &) const = default;
};

/// Makes the result of a change id final: if no result is known for it yet, the result becomes NotAccepted permanently,
/// also for copies of the change that arrive later. Otherwise the first result is returned.
struct ChangeAbandonment {
    ChangeId id;

    bool operator==(const ChangeAbandonment &) const = default;
};

/// What can be proposed to the replicated log.
using Command = std::variant<ContractChange, KeyClaim, EntryRegistration, EntryRemoval, ChangeAbandonment>;

/// The result of a proposal.
struct ProposalResult {
    /// Ok, VersionConflict, ContractNotFound, ContractInvalid, ChangeIdReused, KeyWindowClosed: decided in the log.
    /// NotAccepted: decided in the log, and final for the change id.
    /// NoQuorum, NotLeader: this request did not reach the log.
    /// ChangeOutcomeUnknown: the change may or may not be accepted; resend it with the same change id.
    ResultCode code = ResultCode::Ok;
    /// The version after the change; on a conflict, the version in force.
    Version version;
    /// On a conflict, the change that created the version in force.
    ChangeId winner;
    /// For a claim, the first claimant.
    InstanceId owner;
    Incarnation ownerIncarnation;

    bool operator==(const ProposalResult &) const = default;
};

}
