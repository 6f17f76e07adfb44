#include "gateway/servernotices.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

namespace
{

const ServerId Server("s1");
constexpr std::uint64_t Born = 7;

/// The statements of servers on a clock that the test advances.
struct Fixture {
    void hear(bool isLeaving, std::optional<Duration> away, Duration sentBefore = {}, std::uint64_t born = Born,
              StatementSource source = StatementSource::Response)
    {
        ServerStatement statement;
        statement.source = source;
        statement.status = away ? 503 : 200;
        statement.notices = { isLeaving, away, 0 };
        notices.record(Server, born, statement, now - sentBefore, now);
    }

    bool mayReceive(std::uint64_t born = Born) const
    {
        return notices.wait(Server, born, now) == Duration {};
    }

    ServerNotices notices;
    Instant now = Instant {} + std::chrono::seconds(1000);
};

}

// Guards against a server that is free a moment too early, or for ever away.
TEST_CASE("a server is away from the response on to the end of the stated time")
{
    Fixture fixture;
    CHECK(fixture.mayReceive());
    fixture.hear(false, std::chrono::seconds(3));
    CHECK(fixture.notices.wait(Server, Born, fixture.now) == std::chrono::seconds(3));
    CHECK(fixture.notices.state(Server, Born, fixture.now) == NoticeState::Away);
    fixture.now += std::chrono::seconds(3) - std::chrono::microseconds(1);
    CHECK_FALSE(fixture.mayReceive());
    CHECK_FALSE(fixture.notices.answersSinceReturn(Server, Born, fixture.now));
    fixture.now += std::chrono::microseconds(1);
    CHECK(fixture.mayReceive());
    CHECK(fixture.notices.answersSinceReturn(Server, Born, fixture.now) == 0U);
}

TEST_CASE("neither a shorter time nor a response without one ends the time that a server stated")
{
    Fixture fixture;
    fixture.hear(false, std::chrono::seconds(3));
    fixture.hear(false, std::chrono::seconds(1));
    fixture.hear(false, Duration {});
    fixture.hear(false, std::nullopt, std::chrono::seconds(1));
    fixture.now += std::chrono::seconds(2);
    fixture.hear(false, std::nullopt);
    CHECK(fixture.notices.wait(Server, Born, fixture.now) == std::chrono::seconds(1));
    fixture.hear(false, std::chrono::seconds(5));
    CHECK(fixture.notices.wait(Server, Born, fixture.now) == std::chrono::seconds(5));
}

// Guards against responses that say nothing about a return: to requests sent before the end, to probes, and rejections.
TEST_CASE("a server has returned when it has run some requests that were sent after its time")
{
    Fixture fixture;
    fixture.hear(false, std::chrono::seconds(1));
    fixture.now += std::chrono::seconds(2);
    fixture.hear(false, std::nullopt, std::chrono::milliseconds(1500));
    fixture.hear(false, std::nullopt, {}, Born, StatementSource::Probe);
    fixture.hear(false, std::nullopt, {}, Born, StatementSource::Rejection);
    CHECK(fixture.notices.answersSinceReturn(Server, Born, fixture.now) == 0U);
    for (unsigned n = 1; n < ServerNotices::ReturnAnswers; ++n) {
        fixture.hear(false, std::nullopt, std::chrono::milliseconds(100));
        CHECK(fixture.notices.answersSinceReturn(Server, Born, fixture.now) == n);
    }
    fixture.hear(false, std::nullopt);
    CHECK_FALSE(fixture.notices.answersSinceReturn(Server, Born, fixture.now));
    CHECK(fixture.mayReceive());
    fixture.notices.expire(fixture.now);
    CHECK(fixture.notices.isEmpty());
}

// Guards against a server that is taken away for ever by one response, and against one that returns from leaving.
TEST_CASE("a server that leaves does not return before the longest time of a statement")
{
    Fixture fixture;
    fixture.hear(true, std::nullopt);
    fixture.hear(false, std::nullopt);
    fixture.now += MaxNoticeTime - std::chrono::seconds(1);
    fixture.notices.expire(fixture.now);
    CHECK(fixture.notices.wait(Server, Born, fixture.now) == Duration::max());
    fixture.now += std::chrono::seconds(1);
    CHECK(fixture.mayReceive());
    fixture.notices.expire(fixture.now);
    CHECK(fixture.notices.isEmpty());
}

// Guards against statements of an earlier incarnation, or of a server that has left.
TEST_CASE("a statement belongs to one incarnation of a server")
{
    Fixture fixture;
    fixture.hear(true, std::chrono::seconds(3));
    CHECK_FALSE(fixture.mayReceive());
    CHECK(fixture.mayReceive(Born + 1));
    fixture.hear(false, std::chrono::seconds(1), {}, Born + 1);
    CHECK(fixture.notices.wait(Server, Born + 1, fixture.now) == std::chrono::seconds(1));
    fixture.notices.remove(Server);
    CHECK(fixture.notices.isEmpty());
}

TEST_CASE("the metrics show servers that leave or are away, and what they stated")
{
    Fixture fixture;
    fixture.hear(true, std::nullopt);
    ServerStatement statement;
    statement.source = StatementSource::Probe;
    statement.status = 503;
    statement.notices = { false, std::chrono::seconds(2), 1 };
    fixture.notices.record(ServerId("s2"), 1, statement, fixture.now, fixture.now);
    const std::string text = fixture.notices.metrics(fixture.now);
    for (const char *it : { "excluded_servers{state=\"leaving\"} 1", "excluded_servers{state=\"away\"} 1",
                            "notices_total{notice=\"leaving\",by=\"response\"} 1", "notices_total{notice=\"away\",by=\"probe\"} 1",
                            "notices_unreadable_total 1" }) {
        INFO(it);
        CHECK(text.find(it) != std::string::npos);
    }
}
