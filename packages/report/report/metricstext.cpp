#include "report/metricstext.h"

#include <array>
#include <cassert>
#include <charconv>

namespace Galenabarrow::Report
{

namespace
{

std::string_view kindName(MetricsText::Kind kind)
{
    switch (kind) {
    case MetricsText::Kind::Counter:
        return "counter";
    case MetricsText::Kind::Gauge:
        return "gauge";
    case MetricsText::Kind::Histogram:
        return "histogram";
    }
    return "untyped";
}

void appendEscaped(std::string &text, std::string_view value)
{
    for (const char it : value) {
        if (it == '\n') {
            text += "\\n";
            continue;
        }
        if (it == '"' || it == '\\') {
            text += '\\';
        }
        text += it;
    }
}

std::string numberText(double value)
{
    std::array<char, 32> buf {};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), value);
    return ec == std::errc() ? std::string(buf.data(), end) : std::string("NaN");
}

std::string seconds(Duration duration)
{
    return numberText(std::chrono::duration<double>(duration).count());
}

}

MetricsText &MetricsText::family(std::string_view name, Kind kind, std::string_view help)
{
    m_name = name;
    m_text.append("# HELP ").append(name).append(" ").append(help).append("\n");
    m_text.append("# TYPE ").append(name).append(" ").append(kindName(kind)).append("\n");
    return *this;
}

MetricsText &MetricsText::sample(std::initializer_list<Label> labels, std::uint64_t value)
{
    appendLine("", labels, "", "", std::to_string(value));
    return *this;
}

MetricsText &MetricsText::sample(std::initializer_list<Label> labels, double value)
{
    appendLine("", labels, "", "", numberText(value));
    return *this;
}

MetricsText &MetricsText::histogram(std::initializer_list<Label> labels, const LatencyHistogram &histogram)
{
    const std::vector<std::uint64_t> counts = histogram.counts();
    std::uint64_t cumulative = 0;
    for (std::size_t n = 0; n + 1 < counts.size(); ++n) {
        cumulative += counts[n];
        if (n % LatencyHistogram::BucketsPerOctave == 0) {
            appendLine("_bucket", labels, "le", seconds(LatencyHistogram::upperEdge(n)), std::to_string(cumulative));
        }
    }
    appendLine("_bucket", labels, "le", "+Inf", std::to_string(histogram.count()));
    appendLine("_sum", labels, "", "", seconds(histogram.sum()));
    appendLine("_count", labels, "", "", std::to_string(histogram.count()));
    return *this;
}

const std::string &MetricsText::text() const
{
    return m_text;
}

std::string_view MetricsText::contentType()
{
    return "text/plain; version=0.0.4; charset=utf-8";
}

void MetricsText::appendLine(std::string_view suffix, std::span<const Label> labels, std::string_view extraLabel,
                             std::string_view extraValue, std::string_view value)
{
    assert(!m_name.empty());
    m_text.append(m_name).append(suffix);
    char separator = '{';
    const auto append = [&](std::string_view name, std::string_view labelValue) {
        m_text += separator;
        m_text.append(name).append("=\"");
        appendEscaped(m_text, labelValue);
        m_text += '"';
        separator = ',';
    };
    for (const Label &it : labels) {
        append(it.name, it.value);
    }
    if (!extraLabel.empty()) {
        append(extraLabel, extraValue);
    }
    m_text.append(separator == ',' ? "} " : " ").append(value).append("\n");
}

}
