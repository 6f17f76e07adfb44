#pragma once

#include <cstddef>
#include <string_view>

#include <Poco/Net/HTTPRequest.h>

#include "base/resultcode.h"

namespace Galenabarrow::Daemon
{

/// Checks the lines after the request line. POCO skips lines without a colon and joins folded lines, so that it would
/// parse a different request from the one that the caller sent. Fails with HeaderInvalid.
Result<void> checkHeaderLines(std::string_view head);

/// Checks the head of a request before its body is read and returns the length of the body. Fails with
/// BodyTooLarge, HeaderContradictory or HeaderInvalid.
Result<std::size_t> checkHead(const Poco::Net::HTTPRequest &head, std::size_t maxBodyBytes);

/// The HTTP status for invalid input.
int statusForInput(ResultCode code);

}
