#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wire/envelope.h"

namespace Galenabarrow::Control
{

/// A message to send; the caller adds sender, sender address and incarnation.
struct Outgoing {
    /// "host:port" of the receiver.
    std::string address;
    Wire::MessageKind kind = Wire::MessageKind::Raft;
    std::uint64_t correlation = 0;
    std::vector<std::uint8_t> payload;
};

/// A control instance in the settings.
struct ControlPeer {
    InstanceId instance;
    /// "host:port" where the instance accepts frames.
    std::string address;
};

}
