#pragma once

#include <cstdint>
#include <exception>
#include <map>
#include <string>
#include <string_view>

namespace Galenabarrow
{

/// Logs an exception that ended some work, and counts it by \p kind. \p subject names the request, the peer or the like.
void recordUnexpectedError(std::string_view kind, const std::string &subject, std::string_view what);

/// Number of unexpected errors of this process by kind.
std::map<std::string, std::uint64_t, std::less<>> unexpectedErrors();

/// Runs \p work, and returns whether it came to its end. An exception ends only this work, not the process; the caller has to end what the
/// work was done for with a true outcome. \p subject is called for the log line. Not for work on replicated state: after an error there,
/// the state may differ from that of the other replicas, so the process has to end.
template<typename Subject, typename Work>
bool runGuarded(std::string_view kind, const Subject &subject, const Work &work)
{
    try {
        work();
        return true;
    } catch (const std::exception &error) {
        recordUnexpectedError(kind, subject(), error.what());
    }
    return false;
}

}
