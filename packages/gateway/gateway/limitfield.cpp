#include "gateway/limitfield.h"

#include <algorithm>
#include <charconv>

namespace Galenabarrow::Gateway
{

namespace
{

/// Larger numbers are rejected as errors of the sender: no server accepts as many requests a second.
constexpr double MaxPerSecond = 1e6;

std::optional<double> parseLimit(std::string_view text)
{
    const bool isPlain = !text.empty() && text.find_first_not_of("0123456789.") == std::string_view::npos;
    double value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    if (!isPlain || ec != std::errc() || end != text.data() + text.size() || value > MaxPerSecond) {
        return std::nullopt;
    }
    return value;
}

}

LimitField readLimitField(const Http::Fields &fields, std::string_view name)
{
    LimitField field;
    for (const Http::Field &it : fields.all()) {
        if (!Http::equalsIgnoringCase(it.name, name)) {
            continue;
        }
        field.isPresent = true;
        if (const std::optional<double> value = parseLimit(it.value)) {
            field.perSecond = std::min(field.perSecond.value_or(*value), *value);
        }
    }
    return field;
}

}
