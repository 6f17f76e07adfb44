#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "base/resultcode.h"
#include "control/command.h"
#include "control/feed.h"
#include "control/rafttypes.h"

namespace Galenabarrow::Control
{

using Bytes = std::vector<std::uint8_t>;
using ByteView = std::span<const std::uint8_t>;

/// A proposal on its way to the leader.
struct ProposeRequest {
    /// Set by a control instance that is not the leader; such a request is not forwarded again.
    bool isForwarded = false;
    /// An encoded Command. The bytes go into the log as they are.
    Bytes command;
};

// All decoders verify the buffer first and fail with FrameMalformed.

Bytes encode(const RaftMessage &message);
Result<RaftMessage> decodeRaftMessage(ByteView bytes);

Bytes encode(const LogEntry &entry);
Result<LogEntry> decodeLogEntry(ByteView bytes);
Bytes encode(const HardState &state);
Result<HardState> decodeHardState(ByteView bytes);
Bytes encode(const Snapshot &snapshot);
Result<Snapshot> decodeSnapshot(ByteView bytes);

Bytes encode(const Command &command);
Result<Command> decodeCommand(ByteView bytes);
Bytes encode(const ProposeRequest &request);
Result<ProposeRequest> decodeProposeRequest(ByteView bytes);
Bytes encode(const ProposalResult &result);
Result<ProposalResult> decodeProposalResult(ByteView bytes);

Bytes encode(const FeedRequest &request);
Result<FeedRequest> decodeFeedRequest(ByteView bytes);
Bytes encode(const FeedReply &reply);
Result<FeedReply> decodeFeedReply(ByteView bytes);

}
