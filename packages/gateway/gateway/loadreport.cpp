#include "gateway/loadreport.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace Galenabarrow::Gateway
{

namespace
{
constexpr std::size_t RequiredValues = 3;
constexpr std::size_t MaxValues = 4;
constexpr double Percent = 100;
/// Larger values are rejected as errors of the sender.
constexpr unsigned MaxValue = 1000000;
}

std::optional<LoadReport> parseLoadReport(std::string_view text, Instant at)
{
    std::array<unsigned, MaxValues> values {};
    std::size_t count = 0;
    while (count < MaxValues) {
        const std::size_t comma = text.find(',');
        const std::string_view part = text.substr(0, comma);
        const auto [end, ec] = std::from_chars(part.data(), part.data() + part.size(), values[count]);
        if (ec != std::errc() || end != part.data() + part.size() || values[count] > MaxValue) {
            return std::nullopt;
        }
        ++count;
        if (comma == std::string_view::npos) {
            break;
        }
        text.remove_prefix(comma + 1);
    }
    if (count < RequiredValues) {
        return std::nullopt;
    }
    LoadReport report;
    report.running = values[0];
    report.waiting = values[1];
    report.slots = std::max(1U, values[2]);
    report.slowness = count == MaxValues && values[3] > 0 ? values[3] / Percent : 1;
    report.at = at;
    return report;
}

std::string describe(const LoadReport &report)
{
    std::array<char, 64> buf {};
    std::snprintf(buf.data(), buf.size(), "%u+%u/%ux%.1f", report.running, report.waiting, report.slots, report.slowness);
    return buf.data();
}

}
