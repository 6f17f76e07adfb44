#pragma once

#include <optional>

#include <Poco/Net/Socket.h>

#include "base/clock.h"

namespace Galenabarrow::Wire
{

/// Waits until \p socket has something to read, an end of stream included; false when \p timeout has passed. Without a
/// timeout it waits until another thread shuts the socket down. Replaces Poco::Net::Socket::poll, which creates and closes
/// an epoll descriptor in every call and so costs four system calls instead of one.
bool waitReadable(const Poco::Net::Socket &socket, std::optional<Duration> timeout);

}
