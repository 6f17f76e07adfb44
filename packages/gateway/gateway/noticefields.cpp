#include "gateway/noticefields.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace Galenabarrow::Gateway
{

namespace
{

constexpr unsigned UnavailableStatus = 503;

std::optional<Duration> parseSeconds(std::string_view text)
{
    const bool isPlain = !text.empty() && text.find_first_not_of("0123456789.") == std::string_view::npos;
    double value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    if (!isPlain || ec == std::errc::invalid_argument || end != text.data() + text.size()) {
        return std::nullopt;
    }
    constexpr double MaxSeconds = std::chrono::duration<double>(MaxNoticeTime).count();
    if (ec == std::errc::result_out_of_range || value > MaxSeconds) {
        return MaxNoticeTime;
    }
    return Duration(static_cast<Duration::rep>(std::ceil(value * 1e6)));
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
