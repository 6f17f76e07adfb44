#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace Galenabarrow
{

/// One key-value pair of a structured log line.
struct LogField {
    std::string_view key;
    std::string value;
};

/// Writes structured log lines (key=value) through log4cxx. Log changes of state; count events that occur on every call in a
/// metric instead.
class Log
{
public:
    /// Writes all lines of the process to standard error. \p threshold is the lowest level written: debug, info, warn or error;
    /// an unknown level means info.
    static void configure(std::string_view threshold);
    /// Number of log lines of this process that were dropped because the log reader was too slow.
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
