#include "base/logappender.h"

#include <array>

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

using namespace Galenabarrow;

namespace
{

/// A logger that writes to a pipe, which is read only by read().
struct Fixture {
    Fixture()
    {
        REQUIRE(::pipe2(pipe.data(), O_CLOEXEC) == 0);
        // Reading an empty pipe must not block the test.
        REQUIRE(::fcntl(pipe[0], F_SETFL, O_NONBLOCK) == 0);
        const log4cxx::LayoutPtr layout = std::make_shared<log4cxx::PatternLayout>("time=now %m%n");
        appender = std::make_shared<LogAppender>(layout, pipe[1]);
        logger->setAdditivity(false);
        logger->removeAllAppenders();
        logger->addAppender(appender);
    }

    ~Fixture()
    {
        logger->removeAllAppenders();
        ::close(pipe[0]);
        ::close(pipe[1]);
    }

    std::string read()
    {
        std::string text;
        std::array<char, 65536> buf {};
        for (ssize_t n = ::read(pipe[0], buf.data(), buf.size()); n > 0; n = ::read(pipe[0], buf.data(), buf.size())) {
            text.append(buf.data(), static_cast<std::size_t>(n));
        }
        return text;
    }

    std::array<int, 2> pipe {};
    log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("logappendertest");
    std::shared_ptr<LogAppender> appender;
};

}

// Guards against requests that block because the reader of the log has stalled. With a blocking write, this test does not end.
TEST_CASE("a stalled log reader does not block the writer, and the number of lost lines is logged afterwards", "[log]")
{
    Fixture fixture;
    constexpr int Lines = 20000; // several times the capacity of a pipe
    for (int n = 0; n < Lines; ++n) {
        LOG4CXX_INFO(fixture.logger, "event=line number=" + std::to_string(n));
    }
    CHECK(fixture.appender->lostLines() > 0);
    CHECK(fixture.appender->lostLines() < Lines);
    const std::string before = fixture.read();
    CHECK(before.find("event=lines_lost") == std::string::npos);
    CHECK(before.ends_with("\n"));
    const std::uint64_t lost = fixture.appender->lostLines();
    LOG4CXX_INFO(fixture.logger, "event=next");
    CHECK(fixture.read() == "time=now level=WARN component=log event=lines_lost count=" + std::to_string(lost) + "\ntime=now event=next\n");
    LOG4CXX_INFO(fixture.logger, "event=later");
    CHECK(fixture.read() == "time=now event=later\n");
}

TEST_CASE("a line that is too long is truncated, and the next line is intact", "[log]")
{
    Fixture fixture;
    LOG4CXX_INFO(fixture.logger, std::string(3 * LogAppender::MaxLineSize, 'x'));
    LOG4CXX_INFO(fixture.logger, "event=next");
    const std::string text = fixture.read();
    CHECK(text.size() == LogAppender::MaxLineSize + std::string("time=now event=next\n").size());
    CHECK(text.ends_with("\ntime=now event=next\n"));
}

TEST_CASE("writing to a closed descriptor only counts lost lines", "[log]")
{
    Fixture fixture;
    const int closed = ::dup(fixture.pipe[1]);
    ::close(closed);
    const log4cxx::LayoutPtr layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
    auto appender = std::make_shared<LogAppender>(layout, closed);
    fixture.logger->removeAllAppenders();
    fixture.logger->addAppender(appender);
    LOG4CXX_INFO(fixture.logger, "event=line");
    CHECK(appender->lostLines() == 1);
}
