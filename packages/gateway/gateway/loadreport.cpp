#include "gateway/loadreport.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace Galenabarrow::Gateway
{

namespace
{
constexpr std::size_t RequiredFigures = 3;
constexpr std::size_t MaxFigures = 4;
constexpr double Percent = 100;
/// Larger figures are errors of the sender.
constexpr unsigned MaxFigure = 1000000;
}

std::optional<LoadReport> parseLoadReport(std::string_view text, Instant at)
{
    std::array<unsigned, MaxFigures> figures {};
    std::size_t count = 0;
    while (count < MaxFigures) {
        const std::size_t comma = text.find(',');
        const std::string_view part = text.substr(0, comma);
        const auto [end, ec] = std::from_chars(part.data(), part.data() + part.size(), figures[count]);
        if (ec != std::errc() || end != part.data() + part.size() || figures[count] > MaxFigure) {
            return std::nullopt;
        }
        ++count;
        if (comma == std::string_view::npos) {
            break;
        }
        text.remove_prefix(comma + 1);
    }
    if (count < RequiredFigures) {
        return std::nullopt;
    }
    LoadReport report;
    report.running = figures[0];
    report.waiting = figures[1];
    report.slots = std::max(1U, figures[2]);
    report.slowness = count == MaxFigures && figures[3] > 0 ? figures[3] / Percent : 1;
    report.at = at;
    return report;
}

}
