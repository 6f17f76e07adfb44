#include "gateway/requestfields.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <limits>

namespace Galenabarrow::Gateway
{

namespace
{
/// Longer deadlines are cut to this.
constexpr Duration MaxDeadline = std::chrono::minutes(10);
}

std::string formatMilliseconds(Duration duration)
{
    return std::to_string(std::chrono::floor<std::chrono::milliseconds>(duration).count());
}

std::string formatSeconds(Duration duration)
{
    std::array<char, 32> buf {};
    std::snprintf(buf.data(), buf.size(), "%.3f", std::chrono::duration<double>(duration).count());
    return buf.data();
}

std::optional<Duration> parseMilliseconds(const std::string *field)
{
    if (field == nullptr) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const auto [end, ec] = std::from_chars(field->data(), field->data() + field->size(), value);
    if (ec != std::errc() || end != field->data() + field->size() || value < 0) {
        return std::nullopt;
    }
    constexpr std::int64_t MaxMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(MaxDeadline).count();
    return std::chrono::milliseconds(std::min(value, MaxMilliseconds));
}

std::optional<double> parseDecimal(std::string_view text)
{
    const bool isPlain = !text.empty() && text.find_first_not_of("0123456789.") == std::string_view::npos;
    double value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    if (!isPlain || ec == std::errc::invalid_argument || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return ec == std::errc::result_out_of_range ? std::numeric_limits<double>::infinity() : value;
}

bool statesNotExecuted(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

}
