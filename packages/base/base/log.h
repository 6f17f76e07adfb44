#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace Galenabarrow
{

/// One key and value of a structured log line.
struct LogField {
    std::string_view key;
    std::string value;
};

/// Writes structured log lines (key=value) through log4cxx. A line is for a change of state; what happens per call
/// belongs into a counter.
class Log
{
public:
    /// Sends all lines of the process to standard error. \p threshold is one of debug, info, warn, error.
    static void configure(std::string_view threshold);
    /// Lines of this process that were lost because nobody read them in time.
    static std::uint64_t lostLines();

    explicit Log(std::string_view component);
    void info(std::string_view event, std::initializer_list<LogField> fields = {}) const;
    void info(std::string_view event, const std::vector<LogField> &fields) const;
    void warn(std::string_view event, std::initializer_list<LogField> fields = {}) const;
    void error(std::string_view event, std::initializer_list<LogField> fields = {}) const;

private:
    std::string m_component;
};

}
