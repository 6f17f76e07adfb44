#pragma once

#include "coordination/corenode.h"

namespace Galenabarrow::Coordination
{

/// A connection that another instance has opened to this one.
struct CoreNode::Peer {
    std::unique_ptr<Net::FrameStream> frames;
    /// Set for an entry.
    std::optional<EntryInfo> entry;
    Instant firstContactAt {};
    Instant lastContactAt {};
    LogIndex knownIndex;
    FeedWindow window;
    ServerFacts::Receiver facts;
    ColdServers::Receiver cold;
    bool isAcknowledgementDue = false;
};

}
