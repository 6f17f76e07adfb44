#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/id.h"
#include "base/resultcode.h"

namespace Galenabarrow::Wire
{

/// Kinds of messages between instances. The numbers are part of the protocol.
enum class MessageKind : std::uint16_t {
    Raft = 100,
    FeedRequest = 110,
    FeedReply = 111,
    ProposeRequest = 120,
    ProposeReply = 121,
    ShareRequest = 130,
    ShareReply = 131,
    WaitReports = 140,
    EntryReport = 150,
    FeedUpdate = 151,
    CoreReport = 152,
    LinkAcknowledgement = 153,
    QuotaUsage = 160,
    QuotaTotals = 161,
    QuotaFractions = 162,
    GossipRecords = 200,
    GossipAcknowledgement = 201,
    GossipDigest = 202,
};

/// A message kind with its name in metrics.
struct MessageKindName {
    MessageKind kind;
    std::string_view name;
};

inline constexpr std::array MessageKindNames {
    MessageKindName { MessageKind::Raft, "raft" },
    MessageKindName { MessageKind::FeedRequest, "feed_request" },
    MessageKindName { MessageKind::FeedReply, "feed_reply" },
    MessageKindName { MessageKind::ProposeRequest, "propose_request" },
    MessageKindName { MessageKind::ProposeReply, "propose_reply" },
    MessageKindName { MessageKind::ShareRequest, "share_request" },
    MessageKindName { MessageKind::ShareReply, "share_reply" },
    MessageKindName { MessageKind::WaitReports, "wait_reports" },
    MessageKindName { MessageKind::EntryReport, "entry_report" },
    MessageKindName { MessageKind::FeedUpdate, "feed_update" },
    MessageKindName { MessageKind::CoreReport, "core_report" },
    MessageKindName { MessageKind::LinkAcknowledgement, "link_acknowledgement" },
    MessageKindName { MessageKind::QuotaUsage, "quota_usage" },
    MessageKindName { MessageKind::QuotaTotals, "quota_totals" },
    MessageKindName { MessageKind::QuotaFractions, "quota_fractions" },
    MessageKindName { MessageKind::GossipRecords, "gossip_records" },
    MessageKindName { MessageKind::GossipAcknowledgement, "gossip_acknowledgement" },
    MessageKindName { MessageKind::GossipDigest, "gossip_digest" },
};

/// One message between two instances, with a payload that its package encodes.
struct Envelope {
    InstanceId sender;
    /// Where the sender accepts frames, as "host:port"; replies go there.
    std::string senderAddress;
    Incarnation incarnation;
    /// Matches a reply to its request; 0 for messages without a reply.
    std::uint64_t correlation = 0;
    MessageKind kind = MessageKind::Raft;
    std::vector<std::uint8_t> payload;
};

/// The FlatBuffers bytes of \p envelope.
std::vector<std::uint8_t> encode(const Envelope &envelope);
/// Verifies and reads an envelope. Fails with FrameMalformed.
Result<Envelope> decodeEnvelope(std::span<const std::uint8_t> bytes);

}
