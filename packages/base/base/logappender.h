#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include <log4cxx/appenderskeleton.h>

namespace Galenabarrow
{

/// Writes log lines to a file descriptor without blocking on a slow reader: a line that does not fit into a full pipe is dropped
/// and counted. When the pipe has room again, a line with the number of dropped lines is written before the next line.
class LogAppender : public log4cxx::AppenderSkeleton
{
public:
    /// Maximum length of a line in bytes, including the newline; longer lines are truncated. Writes of up to this size to a pipe
    /// are atomic (PIPE_BUF on Linux).
    static constexpr std::size_t MaxLineSize = 4096;

    /// \p fd is not owned and must stay open for the lifetime of the appender.
    LogAppender(const log4cxx::LayoutPtr &layout, int fd);

    /// Number of lines dropped since the appender was created.
    std::uint64_t lostLines() const;
    void close() override;
    bool requiresLayout() const override;

protected:
    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override;

private:
    bool write(std::string_view line);
    void reportLostLines(const std::string &line);

    int m_fd;
    std::atomic<std::uint64_t> m_lostLines = 0;
    std::uint64_t m_reportedLostLines = 0;
};

}
