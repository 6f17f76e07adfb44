#pragma once

#include <atomic>
#include <cstdint>

namespace Galenabarrow::Daemon
{

/// How calls ended at this entry.
struct CallCounters {
    std::atomic<std::uint64_t> answered { 0 };
    std::atomic<std::uint64_t> notRun { 0 };
    std::atomic<std::uint64_t> unknown { 0 };
    std::atomic<std::uint64_t> inputErrors { 0 };
    std::atomic<std::uint64_t> forwarded { 0 };
    std::atomic<std::uint64_t> claims { 0 };
};

}
