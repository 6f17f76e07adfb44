#include "gateway/crashcheck.h"

#include <cerrno>
#include <utility>

namespace Galenabarrow::Gateway
{

namespace
{

/// A connection that is neither accepted nor refused by then says nothing about the server.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(250);

}

CrashCheck::CrashCheck(Net::EventLoop &loop)
    : m_loop(loop)
{
}

void CrashCheck::check(const std::string &address, Callback callback)
{
    const auto parsed = Net::parseSocketAddress(address);
    errno = 0;
    const auto stream = parsed ? Net::Stream::connect(m_loop, *parsed) : nullptr;
    if (stream == nullptr) {
        if (errno == ECONNREFUSED) {
            ++m_crashes;
            m_loop.defer([callback = std::move(callback)] { callback(true); });
        }
        return;
    }
    // The timer owns the stream. The callbacks do not, since they are members of it.
    const Net::TimerId timer = m_loop.after(ConnectTimeout, [stream] { stream->close(); });
    const auto finish = [this, timer, callback = std::move(callback), isFinished = std::make_shared<bool>(false)](bool hasCrashed) {
        m_loop.cancel(timer);
        if (!std::exchange(*isFinished, true)) {
            ++(hasCrashed ? m_crashes : m_alive);
            m_loop.defer([callback, hasCrashed] { callback(hasCrashed); });
        }
    };
    stream->onConnected([this, finish, weak = std::weak_ptr(stream)] {
        m_loop.defer([stream = weak.lock()] { stream->close(); }); // it may not be destroyed by its own callback
        finish(false);
    });
    stream->onEnd([this, finish, weak = std::weak_ptr(stream)](Net::StreamEnd) {
        m_loop.defer([stream = weak.lock()] { stream->close(); });
        finish(true);
    });
}

std::uint64_t CrashCheck::crashes() const
{
    return m_crashes;
}

std::uint64_t CrashCheck::alive() const
{
    return m_alive;
}

}
