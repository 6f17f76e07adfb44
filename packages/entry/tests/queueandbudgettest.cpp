#include <catch2/catch.hpp>

#include "entry/deadlinequeue.h"
#include "entry/resetdeadlines.h"
#include "entry/tokenbudget.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Entry;
using namespace std::chrono_literals;

// Guards against a customer that starves the others by sending more calls.
TEST_CASE("the queue serves customers in turn and each by deadline", "[deadlinequeue]")
{
    DeadlineQueue queue;
    const CustomerId busy("busy");
    const CustomerId quiet("quiet");
    for (std::uint64_t n = 1; n <= 4; ++n) {
        queue.push(busy, Instant(100ms - Duration(n)), CallId(n));
    }
    queue.push(quiet, Instant(1s), CallId(9));
    REQUIRE(queue.pop() == CallId(4));
    REQUIRE(queue.pop() == CallId(9));
    REQUIRE(queue.pop() == CallId(3));
    queue.remove(busy, Instant(100ms - Duration(2)), CallId(2));
    REQUIRE(queue.pop() == CallId(1));
    REQUIRE_FALSE(queue.pop());
}

// Guards against ordering customers with equal served counts by name, which let the calls of the last names wait longest.
TEST_CASE("among customers with equal counts the earliest deadline comes first", "[deadlinequeue]")
{
    DeadlineQueue queue;
    queue.push(CustomerId("a"), Instant(30ms), CallId(3));
    queue.push(CustomerId("b"), Instant(10ms), CallId(1));
    queue.push(CustomerId("c"), Instant(20ms), CallId(2));
    REQUIRE(queue.pop() == CallId(1));
    REQUIRE(queue.pop() == CallId(2));
    REQUIRE(queue.pop() == CallId(3));
}

// Guards against a customer that accumulates precedence while it is idle and then blocks the others.
TEST_CASE("an idle customer accumulates no precedence", "[deadlinequeue]")
{
    DeadlineQueue queue;
    const CustomerId steady("steady");
    const CustomerId late("late");
    for (std::uint64_t n = 1; n <= 20; ++n) {
        queue.push(steady, Instant(Duration(n)), CallId(n));
    }
    for (int n = 0; n < 10; ++n) {
        queue.pop();
    }
    queue.push(late, Instant(1s), CallId(101));
    queue.push(late, Instant(1s), CallId(102));
    int lateServed = 0;
    for (int n = 0; n < 3; ++n) {
        lateServed += queue.pop()->value() > 100 ? 1 : 0;
    }
    REQUIRE(lateServed >= 1);
    REQUIRE(lateServed <= 2);
}

// Guards against a budget that accumulates without limit and then allows a burst that multiplies the load.
TEST_CASE("a token budget is bounded by its deposits and its maximum", "[sharebudget]")
{
    RetryBudget budget;
    int withdrawn = 0;
    for (int n = 0; n < 1000; ++n) {
        budget.deposit(100);
        withdrawn += budget.tryWithdraw() ? 1 : 0;
    }
    REQUIRE(withdrawn <= 101);
    for (int n = 0; n < 10'000; ++n) {
        budget.deposit(100);
    }
    for (withdrawn = 0; budget.tryWithdraw(); ++withdrawn) { }
    REQUIRE(withdrawn == 10);
}

namespace
{

struct ResetCase {
    std::optional<Instant> absolute;
    std::optional<Duration> relative;
    std::optional<Instant> expected;
};

const Instant Now(100s);
const ResetCase ResetCases[] = {
    { Instant(160s), std::nullopt, Instant(160s) },
    { Instant(160s), 5s, Instant(160s) },
    { Instant(90s), 5s, Instant(105s) },
    { std::nullopt, 5s, Instant(105s) },
    { std::nullopt, 0s, std::nullopt },
    { std::nullopt, -5s, std::nullopt },
    { Instant(90s), std::nullopt, std::nullopt },
    { Now, std::nullopt, std::nullopt },
    { std::nullopt, std::nullopt, std::nullopt },
};

}

// Guards against a reset time that is ignored, and an absolute time in the past that hides a valid relative one.
TEST_CASE("a future absolute reset time takes precedence", "[resetdeadlines]")
{
    for (const ResetCase &it : ResetCases) {
        REQUIRE(ResetDeadlines::resolve(it.absolute, it.relative, Now) == it.expected);
    }
}

// Guards against late answers that shorten a deadline, and a server that is excluded for ever by an implausible one.
TEST_CASE("reset deadlines only grow and are bounded", "[resetdeadlines]")
{
    ResetDeadlines resets;
    const ServerId server("a");
    resets.block(server, Instant(160s), Now);
    resets.block(server, Instant(130s), Now);
    resets.block(server, Instant(50s), Now);
    REQUIRE(resets.blockedUntil(server) == Instant(160s));
    resets.block(server, Instant(10h), Now);
    REQUIRE(resets.blockedUntil(server) == Now + 1h);
    resets.prune(Instant(2h));
    REQUIRE(resets.blockedUntil(server) < Now);
}
