#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

#include "base/clock.h"
#include "base/id.h"
#include "base/resultcode.h"

namespace Galenabarrow::Membership
{

/// What a record describes. The numbers are part of the protocol.
enum class RecordKind : std::uint8_t { Server = 1, Instance = 2, Probe = 3 };

/// Identifies a record; there is one per server, instance or probed server.
struct RecordKey {
    RecordKind kind = RecordKind::Server;
    std::string id;

    auto operator<=>(const RecordKey &) const = default; // NOLINT(modernize-use-nullptr): as in base/id.h
};

/// What a server announces about itself.
struct ServerInfo {
    ServiceId service;
    /// "host:port" for calls.
    std::string address;
    DataCentreId dataCentre;
    std::uint32_t slots = 0;
    bool coldStart = false;

    bool operator==(const ServerInfo &) const = default;
};

/// Roles of an instance; a set of bits.
enum InstanceRole : std::uint8_t { EntryRole = 1, ControlRole = 2 };

/// What an instance of this system announces about itself.
struct InstanceInfo {
    std::uint8_t roles = 0;
    /// "host:port" for callers; empty without the entry role.
    std::string callerAddress;
    /// "host:port" for frames of other instances.
    std::string peerAddress;
    DataCentreId dataCentre;
    /// Scope of new action keys, as printed by Actions::printKeyScope().
    std::string keyScope;
    /// False while the entry is fenced or not ready; it is then not listed to callers.
    bool serving = false;

    bool operator==(const InstanceInfo &) const = default;
};

/// The last probe result of one server. The load of the record is the latency in units of 100 us.
struct ProbeInfo {
    bool healthy = true;

    bool operator==(const ProbeInfo &) const = default;
};

using RecordBody = std::variant<ServerInfo, InstanceInfo, ProbeInfo>;

/// The last known state of one announcer. Ordered by (incarnation, sequence). Load reports have a sequence of their own, so
/// that a load report that overtakes a change of state does not hide it.
struct Record {
    RecordKey key;
    /// Increases with each restart of the announcer, such as its start time in microseconds.
    Incarnation incarnation;
    /// Number of the announcement that last changed \c leaving or \c body.
    SequenceNumber sequence;
    /// Stays set for the rest of the incarnation.
    bool leaving = false;
    /// Number of the announcement that last reported \c load.
    SequenceNumber loadSequence;
    /// For a server, its calls in flight; for a probe, the latency.
    std::uint16_t load = 0;
    /// Time of the last announcement, on the clock of this process.
    Instant lastContactAt {};
    RecordBody body;
};

/// A load report without the rest of its record.
struct LoadUpdate {
    /// See announcerHash().
    std::uint64_t announcer = 0;
    /// Lower half of the load sequence.
    std::uint32_t sequence = 0;
    std::uint16_t load = 0;
    /// Time since the last announcement, in milliseconds.
    std::uint16_t ageMs = 0;

    bool operator==(const LoadUpdate &) const = default;
};

/// Version of the state of a record, for acknowledgements and digests.
struct StateVersion {
    /// See announcerHash().
    std::uint64_t announcer = 0;
    /// Lower half of the sequence.
    std::uint32_t sequence = 0;
    bool leaving = false;

    bool operator==(const StateVersion &) const = default;
};

/// Identifies one incarnation of an announcer.
std::uint64_t announcerHash(const RecordKey &key, Incarnation incarnation);
std::uint64_t announcerHash(const Record &record);

/// True when sequence \p a is after \p b. Both are lower halves of sequences that are less than 2^31 apart.
bool isAfter(std::uint32_t a, std::uint32_t b);

/// Checks the lengths and values of a received record. Fails with AnnouncementInvalid.
Result<void> validate(const Record &record);

/// A server's announcement as received over HTTP.
struct ServerAnnouncement {
    ServerId server;
    Incarnation incarnation;
    SequenceNumber sequence;
    std::uint32_t inFlight = 0;
    bool leaving = false;
    ServerInfo info;
};

Record toRecord(const ServerAnnouncement &announcement, Instant now);

}
