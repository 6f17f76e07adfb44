#pragma once

#include <optional>
#include <string_view>

#include "http/message.h"

namespace Galenabarrow::Gateway
{

/// What a response says about the requests that its server accepts.
struct LimitField {
    /// The response has such a field, readable or not.
    bool isPresent = false;
    /// Requests a second from all entries together, 0 or more; absent when no field is readable.
    std::optional<double> perSecond;
};

/// Reads the fields of this name: a decimal number, without a sign or an exponent. Of several readable fields the lowest counts.
LimitField readLimitField(const Http::Fields &fields, std::string_view name);

}
