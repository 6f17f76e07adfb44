#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <tuple>
#include <vector>

#include "base/resultcode.h"
#include "routing/confighistory.h"
#include "routing/model.h"

namespace Galenabarrow::Routing
{

using Bytes = std::vector<std::uint8_t>;
using ByteView = std::span<const std::uint8_t>;

/// An order that was accepted once. It is never forgotten: the same order sent again is accepted again.
struct AcceptedChange {
    Version version;
    Version base;
    ChangeDigest digest;

    auto
    operator<=>(const AcceptedChange &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 reports the rewritten comparison
};

/// What changed in a state after some log entry.
struct StateChanges {
    /// The servers are all that are known; a receiver drops others.
    bool isWhole = false;
    /// What changed in the configuration, or all of it; absent when it did not change.
    std::optional<ConfigChange> config;
    std::vector<BackendServer> servers;
};

/// The replicated state: the routing configuration in force and the backend servers. Deterministic: equal commands in
/// equal order make equal states.
class RoutingState
{
public:
    /// Servers that are gone are kept up to this number, so that late announcements of theirs are recognised.
    static constexpr std::size_t MaxGoneServers = 1000;

    /// Applies the committed entry at \p index. The result tells the operator or the server what became of its command:
    /// Ok, VersionConflict or ConfigInvalid.
    Result<void> apply(const Command &command, LogIndex index);
    /// Whether apply() would change a server.
    bool wouldChange(const BackendServer &update) const;
    bool wouldWithdraw(const BackendServer &withdrawal) const;

    const RoutingConfig &config() const;
    /// The entry that made the configuration; 0 when there is none.
    LogIndex configAt() const;
    const std::map<ServerId, BackendServer> &servers() const;
    /// The last entry that changed anything.
    LogIndex changedAt() const;
    StateChanges changesAfter(LogIndex index) const;

    Bytes encodeImage() const;
    /// Fails with FrameMalformed.
    Result<void> restoreImage(ByteView image);

private:
    Result<void> applyChange(const ConfigChange &change, LogIndex index);
    void applyUpdate(const BackendServer &update, LogIndex index);
    void applyWithdrawal(const BackendServer &withdrawal, LogIndex index);
    bool isAddressTaken(const BackendServer &update) const;
    void removeOthersAtAddress(const BackendServer &update, LogIndex index);
    void pruneGoneServers();

    RoutingConfig m_config;
    LogIndex m_configAt;
    /// No part of the replicated state: replicas that were restored know less of it.
    ConfigHistory m_history;
    std::set<AcceptedChange> m_accepted;
    std::map<ServerId, BackendServer> m_servers;
    /// Changes up to this entry may be missing from the table.
    LogIndex m_prunedUpTo;
    LogIndex m_changedAt;
};

}
