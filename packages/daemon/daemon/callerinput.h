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

/// A call as its headers state it.
struct CallerInput {
    CustomerId customer;
    ServiceId service;
    /// Path and query below the service.
    std::string target;
    /// Time left when the request arrived.
    Duration timeLeft {};
    std::optional<Actions::ActionKey> key;
    std::uint8_t depth = 0;
    bool isRetryUpstream = false;
    /// The entry that forwarded the call, empty for a call from a caller.
    std::string forwardedBy;
};

/// Reads and checks a call to /s/<service>/... Fails with PathUnknown, HeaderMissing or HeaderInvalid.
Result<CallerInput> parseCall(const HttpRequest &request);

/// True when the contract allows the call to run more than once. A path that a server may read as another one, such as
/// one with ".." or an escaped character, is never idempotent by the contract's list of paths.
bool isIdempotent(std::string_view method, std::string_view target, const ServiceTerms *terms);

/// The part of the request that every server gets.
CallContent contentOf(HttpRequest &request, const CallerInput &input, bool isAction);

}
