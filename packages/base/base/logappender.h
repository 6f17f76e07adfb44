#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include <log4cxx/appenderskeleton.h>

namespace Galenabarrow
{

/// Writes lines to a file descriptor and never waits for its reader: a line that a full pipe cannot take is lost and counted,
/// and a line with the count follows when the reader goes on.
class LogAppender : public log4cxx::AppenderSkeleton
{
public:
    /// Longest line in bytes, with its end; longer ones are cut. A pipe takes so many bytes at once or none.
    static constexpr std::size_t MaxLineSize = 4096;

    /// The descriptor must outlive the appender.
    LogAppender(const log4cxx::LayoutPtr &layout, int fd);

    /// Lines that were lost since the start.
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
