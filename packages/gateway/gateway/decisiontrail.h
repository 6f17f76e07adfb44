#pragma once

#include <string>
#include <string_view>

#include "base/clock.h"

namespace Galenabarrow::Gateway
{

/// The decisions on one request in order, as text for its log line: "3:send=s1,212:again=no_response". The number is the time in
/// milliseconds since the request was read. Bounded: the earliest decisions are kept, the later ones are only counted.
class DecisionTrail
{
public:
    /// Maximum length of the text in bytes, without the count of omitted decisions.
    static constexpr std::size_t MaxBytes = 400;

    void add(Duration since, std::string_view decision, std::string_view detail);
    /// A suffix "...+3" stands for three omitted decisions.
    std::string text() const;

private:
    std::string m_text;
    unsigned m_omitted = 0;
};

}
