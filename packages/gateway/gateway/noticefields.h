#pragma once

#include <optional>
#include <string_view>

#include "base/clock.h"
#include "http/message.h"

namespace Galenabarrow::Gateway
{

/// The longest time for which a statement of a server holds, so that a wrong one does not take it away for ever.
constexpr Duration MaxNoticeTime = std::chrono::minutes(10);

/// What a response says about requests that its server does not want.
struct NoticeFields {
    bool isLeaving = false;
    /// Time for which the server takes no requests of this entry, 0 or more and at most \c MaxNoticeTime; absent when it states none.
    std::optional<Duration> away;
    /// Fields with a value that has no meaning; such a field states nothing.
    unsigned unreadable = 0;
};

/// Reads the fields of these names. \p leavingName: only the value "1" is a statement. \p awayName: seconds as a decimal number without a
/// sign or an exponent; longer times count as \c MaxNoticeTime. A date is not read, as the clocks of entries and servers differ. The field
/// is only read when the response has the status 503. Of several readable fields the strictest counts.
NoticeFields readNoticeFields(const Http::Response &response, std::string_view leavingName, std::string_view awayName);

}
