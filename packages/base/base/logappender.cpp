#include "base/logappender.h"

#include <poll.h>
#include <unistd.h>

#include <log4cxx/layout.h>

namespace Galenabarrow
{

LogAppender::LogAppender(const log4cxx::LayoutPtr &layout, int fd)
    : m_fd(fd)
{
    setLayout(layout); // the constructor of AppenderSkeleton in log4cxx 1.0 ignores its layout argument
}

std::uint64_t LogAppender::lostLines() const
{
    return m_lostLines;
}

void LogAppender::close()
{
    // The descriptor is not owned and stays open.
}

bool LogAppender::requiresLayout() const
{
    return true;
}

void LogAppender::append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool)
{
    log4cxx::LogString line;
    getLayout()->format(line, event, pool);
    if (line.size() > MaxLineSize) {
        line.resize(MaxLineSize - 1);
        line += '\n';
    }
    if (m_lostLines > m_reportedLostLines) {
        reportLostLines(line);
    }
    if (!write(line)) {
        ++m_lostLines;
    }
}

bool LogAppender::write(std::string_view line)
{
    pollfd poll { m_fd, POLLOUT, 0 };
    // A write of at most MaxLineSize bytes to a pipe that poll() reports writable does not block, and neither does one to a file.
    const bool isReady = ::poll(&poll, 1, 0) == 1 && (poll.revents & POLLOUT) != 0;
    return isReady && ::write(m_fd, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

void LogAppender::reportLostLines(const std::string &line)
{
    const std::uint64_t lost = m_lostLines;
    // Use the timestamp of the line that is written next, in the format of the layout.
    const std::string time = line.substr(0, line.find(' '));
    if (write(time + " level=WARN component=log event=lines_lost count=" + std::to_string(lost - m_reportedLostLines) + "\n")) {
        m_reportedLostLines = lost;
    }
}

}
