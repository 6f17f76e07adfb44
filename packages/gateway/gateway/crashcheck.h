#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/stream.h"

namespace Galenabarrow::Gateway
{

/// Finds out whether a server has crashed when a connection to it was lost: the port of a crashed server refuses connections, while one
/// that has only reset a connection accepts others. A server that does not answer at all is not counted as crashed.
class CrashCheck
{
public:
    using Callback = std::function<void(bool hasCrashed)>;

    explicit CrashCheck(Net::EventLoop &loop);

    /// Calls \p callback at most once, later.
    void check(const std::string &address, Callback callback);
    std::uint64_t crashes() const;
    std::uint64_t alive() const;

private:
    Net::EventLoop &m_loop;
    std::uint64_t m_crashes = 0;
    std::uint64_t m_alive = 0;
};

}
