#pragma once

#include <cstddef>

#include <Poco/Net/HTTPRequest.h>

#include "base/resultcode.h"

namespace Galenabarrow::Daemon
{

/// Checks the head of a request before its body is read and returns the length of the body. Fails with
/// BodyTooLarge, HeaderContradictory, HeaderInvalid or HeaderMissing.
Result<std::size_t> checkHead(const Poco::Net::HTTPRequest &head, std::size_t maxBodyBytes);

/// The HTTP status for a fault of the input.
int statusForInput(ResultCode code);

}
