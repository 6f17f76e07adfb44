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

/// Identifies an accepted change. Kept forever, so that a repeated request for the same change succeeds again.
struct AcceptedChange {
    Version version;
    Version base;
    ChangeDigest digest;

    auto
    operator<=>(const AcceptedChange &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 reports the rewritten comparison
};

/// The changes of a state after a given log entry.
struct StateChanges {
    /// The servers and the evacuations are the complete lists; the receiver removes all others.
    bool isWhole = false;
    /// A patch, or the whole configuration; absent when the configuration did not change.
    std::optional<ConfigChange> config;
    std::vector<BackendServer> servers;
    /// Changed evacuations, including ended ones; the complete list when \c isWhole.
    std::vector<Evacuation> evacuations;
};

/// The replicated state: the routing configuration in force, the backend servers and the evacuations. Deterministic: the same
/// commands in the same order produce the same state.
class RoutingState
{
public:
    /// At most this number of gone servers is kept, so that their late announcements are recognised.
    static constexpr std::size_t MaxGoneServers = 1000;
    /// A withdrawal that does not state a start time covers announcements that arrive up to this much later: partitions hold
    /// announcements up for seconds.
    static constexpr std::chrono::milliseconds WithdrawalHold = std::chrono::seconds(30);
    /// A server is cold again when it announces more cold time than was expected by more than this. Heartbeats are delayed by less.
    static constexpr Duration ColdTolerance = std::chrono::seconds(1);

    /// Applies the committed command at \p index. The result is reported to its sender. Fails with VersionConflict or
    /// ConfigInvalid.
    Result<void> apply(const Command &command, LogIndex index);
    /// Whether applying this announcement would change a server.
    bool wouldChange(const BackendServer &update) const;
    bool wouldWithdraw(const BackendServer &withdrawal) const;

    const RoutingConfig &config() const;
    /// The log entry that set the configuration; 0 without a configuration.
    LogIndex configAt() const;
    const std::map<ServerId, BackendServer> &servers() const;
    /// The evacuations ordered so far, including ended ones: an entry that was cut off must learn of the end.
    const std::map<DataCentreId, Evacuation> &evacuations() const;
    /// Number of evacuations in force.
    std::size_t activeEvacuations() const;
    /// Whether a server that has not gone, or an evacuation, is in the data centre.
    bool namesDataCentre(const DataCentreId &dataCentre) const;
    /// The last log entry that changed anything.
    LogIndex changedAt() const;
    StateChanges changesAfter(LogIndex index) const;

    Bytes encodeImage() const;
    /// Fails with FrameMalformed.
    Result<void> restoreImage(ByteView image);

private:
    Result<void> applyChange(const ConfigChange &change, LogIndex index);
    /// Whether a ready server announces that it is cold again. Only in services with a limit for cold servers: in others it changes
    /// nothing that an entry does.
    bool isColdAgain(const BackendServer &known, const BackendServer &update) const;
    void applyUpdate(const BackendServer &update, LogIndex index);
    void applyWithdrawal(const BackendServer &withdrawal, LogIndex index);
    void applyEvacuation(const Evacuation &evacuation, LogIndex index);
    bool isAddressTaken(const BackendServer &update) const;
    void removeOthersAtAddress(const BackendServer &update, LogIndex index);
    void pruneGoneServers();

    RoutingConfig m_config;
    LogIndex m_configAt;
    /// Not part of the replicated state: a replica that was restored from an image has a shorter history.
    ConfigHistory m_history;
    std::set<AcceptedChange> m_accepted;
    std::map<ServerId, BackendServer> m_servers;
    std::map<DataCentreId, Evacuation> m_evacuations;
    /// Gone servers that were changed up to this log entry may have been erased.
    LogIndex m_prunedUpTo;
    LogIndex m_changedAt;
};

}
