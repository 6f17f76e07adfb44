#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "actions/actionkey.h"
#include "base/clock.h"
#include "base/id.h"
#include "base/resultcode.h"
#include "contract/contract.h"
#include "daemon/callcontent.h"
#include "daemon/httpmessage.h"

namespace Galenabarrow::Daemon
{

/// A call as its path and headers describe it.
struct CallerInput {
    CustomerId customer;
    ServiceId service;
    /// Path and query below the service.
    std::string target;
    /// Time from the arrival of the request's head to the deadline.
    Duration timeLeft {};
    std::optional<Actions::ActionKey> key;
    /// The value of Galenabarrow-Depth in the request, 0 without one; servers receive it increased by 1.
    std::uint8_t depth = 0;
    /// The caller marked the call as a retry with Galenabarrow-Attempt.
    bool isRetryUpstream = false;
    /// The entry that forwarded the call; empty when it came from a caller.
    std::string forwardedBy;
};

/// Reads and checks a call to /s/<service>/... Fails with PathUnknown, HeaderMissing or HeaderInvalid.
Result<CallerInput> parseCall(const HttpRequest &request);

/// True when the call may run more than once: for GET and HEAD, and for the idempotent paths of the contract. A path that
/// a server may normalise or decode to another one, such as one with ".." or an escaped character, never matches the
/// contract's list.
bool isIdempotent(std::string_view method, std::string_view target, const ServiceTerms *terms);

/// The part of the request that is the same for every server.
CallContent contentOf(HttpRequest &request, const CallerInput &input, bool isAction);

}
