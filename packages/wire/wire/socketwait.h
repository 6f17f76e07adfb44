#pragma once

#include <optional>

#include <Poco/Net/Socket.h>

#include "base/clock.h"

namespace Galenabarrow::Wire
{

/// Waits until \p socket is readable or at the end of its stream; returns false after \p timeout. Without a
/// timeout it waits until another thread shuts the socket down. Replaces Poco::Net::Socket::poll, which creates and closes
/// an epoll descriptor in every call and so costs four system calls instead of one.
bool waitReadable(const Poco::Net::Socket &socket, std::optional<Duration> timeout);

}
