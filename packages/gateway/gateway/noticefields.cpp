#include "gateway/noticefields.h"

#include <algorithm>
#include <cmath>

#include "gateway/requestfields.h"

namespace Galenabarrow::Gateway
{

namespace
{

constexpr unsigned UnavailableStatus = 503;

std::optional<Duration> parseSeconds(std::string_view text)
{
    constexpr double MaxSeconds = std::chrono::duration<double>(MaxNoticeTime).count();
    const std::optional<double> value = parseDecimal(text);
    if (!value) {
        return std::nullopt;
    }
    return *value > MaxSeconds ? MaxNoticeTime : Duration(static_cast<Duration::rep>(std::ceil(*value * 1e6)));
}

}

NoticeFields readNoticeFields(const Http::Response &response, std::string_view leavingName, std::string_view awayName)
{
    NoticeFields notice;
    for (const Http::Field &it : response.fields.all()) {
        if (Http::equalsIgnoringCase(it.name, leavingName)) {
            notice.isLeaving = notice.isLeaving || it.value == "1";
            notice.unreadable += it.value == "1" ? 0 : 1;
        } else if (response.status == UnavailableStatus && Http::equalsIgnoringCase(it.name, awayName)) {
            const std::optional<Duration> time = parseSeconds(it.value);
            notice.unreadable += time ? 0 : 1;
            notice.away = time ? std::max(notice.away.value_or(*time), *time) : notice.away;
        }
    }
    return notice;
}

}
