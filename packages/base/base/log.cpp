#include "base/log.h"

#include <unistd.h>

#include "base/logappender.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace Galenabarrow
{

namespace
{

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" =\"\n") != std::string_view::npos;
}

void appendValue(std::string &line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char it : value) {
        if (it == '"' || it == '\\') {
            line += '\\';
        }
        line += it == '\n' ? ' ' : it;
    }
    line += '"';
}

template<typename Fields>
std::string formatLine(std::string_view event, const Fields &fields)
{
    std::string line = "event=";
    appendValue(line, event);
    for (const LogField &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    return line;
}

/// The appender that all loggers of this process share; null before Log::configure().
std::shared_ptr<LogAppender> &processAppender()
{
    static std::shared_ptr<LogAppender> appender;
    return appender;
}

log4cxx::LoggerPtr logger(const std::string &component)
{
    return log4cxx::Logger::getLogger(component);
}

}

void Log::configure(std::string_view threshold)
{
    log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(LOG4CXX_STR("time=%d{yyyy-MM-ddTHH:mm:ss.SSS}{GMT}Z level=%p component=%c %m%n")));
    processAppender() = std::make_shared<LogAppender>(layout, STDERR_FILENO);
    log4cxx::LogManager::resetConfiguration();
    log4cxx::BasicConfigurator::configure(processAppender());
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(std::string(threshold), log4cxx::Level::getInfo()));
}

std::uint64_t Log::lostLines()
{
    return processAppender() == nullptr ? 0 : processAppender()->lostLines();
}

Log::Log(std::string_view component)
    : m_component(component)
{
}

void Log::info(std::string_view event, std::initializer_list<LogField> fields) const
{
    LOG4CXX_INFO(logger(m_component), formatLine(event, fields));
}

void Log::info(std::string_view event, const std::vector<LogField> &fields) const
{
    LOG4CXX_INFO(logger(m_component), formatLine(event, fields));
}

void Log::warn(std::string_view event, std::initializer_list<LogField> fields) const
{
    LOG4CXX_WARN(logger(m_component), formatLine(event, fields));
}

void Log::error(std::string_view event, std::initializer_list<LogField> fields) const
{
    LOG4CXX_ERROR(logger(m_component), formatLine(event, fields));
}

}
