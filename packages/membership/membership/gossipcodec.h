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

/// Payload of Wire::MessageKind::GossipAcknowledgement: states that the sender holds.
struct GossipAcknowledgement {
    std::vector<StateVersion> versions;
};

/// Payload of Wire::MessageKind::GossipDigest.
struct GossipDigest {
    /// MembershipTable::summary() of the sender.
    std::uint64_t summary = 0;
    /// All live records of the sender, when the summaries differed.
    std::vector<StateVersion> versions;
    /// What the sender knows of announcers that it has not heard for some time.
    std::vector<LoadUpdate> stale;
    /// The receiver answers with its own versions when the sender lacks or holds something newer.
    bool wantsVersions = false;
    /// Not 0 when the sender asks for all that it lacks and an answer with this number after that.
    std::uint64_t catchUp = 0;
    /// Not 0 in that answer.
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
