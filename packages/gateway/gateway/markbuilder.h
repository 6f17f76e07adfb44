#pragma once

#include "coordination/requestmark.h"
#include "http/message.h"

namespace Galenabarrow::Gateway
{

/// Hash of the method, host and target of a request: the \c place of its mark. Needs no body.
std::uint64_t placeOf(const Http::Request &request);
/// The mark of a request that has been received whole. It covers the method, host, target, credentials and body, but neither the id, which
/// differs for each attempt of a caller, nor the caller's address, which differs between the hosts of one caller.
Coordination::RequestMark markOf(const Http::Request &request);

}
