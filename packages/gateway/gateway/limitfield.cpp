#include "gateway/limitfield.h"

#include <algorithm>

#include "gateway/requestfields.h"

namespace Galenabarrow::Gateway
{

namespace
{

/// Larger numbers are rejected as errors of the sender: no server accepts as many requests a second.
constexpr double MaxPerSecond = 1e6;

std::optional<double> parseLimit(std::string_view text)
{
    const std::optional<double> value = parseDecimal(text);
    return value && *value <= MaxPerSecond ? value : std::nullopt;
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
