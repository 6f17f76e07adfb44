#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

#include "report/latencyhistogram.h"

namespace Galenabarrow::Report
{

/// A label of a sample; the value is escaped.
struct Label {
    std::string_view name;
    std::string_view value;
};

/// Builds a page in the Prometheus text format (version 0.0.4). A call of family() is followed by the samples of the family.
class MetricsText
{
public:
    enum class Kind { Counter, Gauge, Histogram };

    /// Starts the family \p name. \p help is one line.
    MetricsText &family(std::string_view name, Kind kind, std::string_view help);
    MetricsText &sample(std::initializer_list<Label> labels, std::uint64_t value);
    MetricsText &sample(std::initializer_list<Label> labels, double value);
    /// All samples of one histogram, in seconds, with a bucket for each octave.
    MetricsText &histogram(std::initializer_list<Label> labels, const LatencyHistogram &histogram);

    const std::string &text() const;
    /// The content type of the page.
    static std::string_view contentType();

private:
    void appendLine(std::string_view suffix, std::span<const Label> labels, std::string_view extraLabel, std::string_view extraValue,
                    std::string_view value);

    std::string m_text;
    std::string m_name;
};

}
