#include "base/errorguard.h"

#include <mutex>

#include "base/log.h"

namespace Galenabarrow
{

namespace
{

std::mutex countsLock;
std::map<std::string, std::uint64_t, std::less<>> counts;

}

void recordUnexpectedError(std::string_view kind, const std::string &subject, std::string_view what)
{
    {
        const std::lock_guard lock(countsLock);
        ++counts.try_emplace(std::string(kind)).first->second;
    }
    Log("guard").error("unexpected_error", { { "kind", std::string(kind) }, { "subject", subject }, { "error", std::string(what) } });
}

std::map<std::string, std::uint64_t, std::less<>> unexpectedErrors()
{
    const std::lock_guard lock(countsLock);
    return counts;
}

}
