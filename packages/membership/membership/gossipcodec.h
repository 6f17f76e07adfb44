#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "membership/record.h"

namespace Galenabarrow::Membership
{

/// Payload of Wire::MessageKind::GossipRecords: records with their ages, and load reports.
struct GossipRecords {
    std::vector<Record> records;
    std::vector<LoadUpdate> loads;
};

/// Payload of Wire::MessageKind::GossipAcknowledgement: versions of records that the sender has received.
struct GossipAcknowledgement {
    std::vector<StateVersion> versions;
};

/// Payload of Wire::MessageKind::GossipDigest.
struct GossipDigest {
    /// MembershipTable::summary() of the sender.
    std::uint64_t summary = 0;
    /// Versions of all live records of the sender, in a catch-up request and in the answer to a digest with another summary.
    std::vector<StateVersion> versions;
    /// Last known loads of the announcers that the sender has not heard from for some time.
    std::vector<LoadUpdate> stale;
    /// Requests the receiver's versions if the summaries differ.
    bool wantsVersions = false;
    /// Round of a catch-up request, otherwise 0. The receiver sends the records that the sender lacks and then, unless it is
    /// itself behind, an answer with this number.
    std::uint64_t catchUp = 0;
    /// Round that this message answers, otherwise 0.
    std::uint64_t catchUpAnswer = 0;
};

std::vector<std::uint8_t> encode(const GossipRecords &message, Instant now);
std::vector<std::uint8_t> encode(const GossipAcknowledgement &message);
std::vector<std::uint8_t> encode(const GossipDigest &message);

/// Each fails with FrameMalformed. Records with invalid fields make the whole message invalid.
Result<GossipRecords> decodeRecords(std::span<const std::uint8_t> bytes, Instant now);
Result<GossipAcknowledgement> decodeAcknowledgement(std::span<const std::uint8_t> bytes);
Result<GossipDigest> decodeDigest(std::span<const std::uint8_t> bytes);

}
