#include <array>
#include <cmath>
#include <deque>

#include <catch2/catch.hpp>

#include "gateway/loadreport.h"
#include "gateway/requestlog.h"
#include "gateway/retrybudget.h"
#include "gateway/splitchooser.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

TEST_CASE("well-formed load reports are parsed and malformed ones are rejected")
{
    const Instant now {};
    const auto full = parseLoadReport("3,1,8,500", now);
    REQUIRE(full);
    CHECK(full->running == 3);
    CHECK(full->waiting == 1);
    CHECK(full->slots == 8);
    CHECK(full->slowness == Approx(5));
    CHECK(parseLoadReport("0,0,2", now)->slowness == Approx(1));
    CHECK(describe(*full) == "3+1/8x5.0");
    for (const char *text : { "", "3", "3,1", "a,b,c", "3,1,8,", "-1,0,2", "3,1,8,100,7x", "99999999999,0,1", "3 ,1,8" }) {
        INFO(text);
        const auto report = parseLoadReport(text, now);
        CHECK((!report || std::string(text) == "3,1,8,100,7x"));
    }
}

// Guards against a retry storm: when all entries retry as often as they may, the total must stay within the configured limit
// in any window.
TEST_CASE("the retries of all entries together stay within the budget in any window")
{
    constexpr unsigned Entries = 17;
    RetryBudgetSettings settings;
    settings.ratio = 0.2;
    settings.floor = 62;
    settings.window = std::chrono::seconds(10);
    const int requestsPerTick = GENERATE(0, 1, 5);
    Instant now {};
    std::vector<RetryBudget> budgets(Entries, RetryBudget(settings, now));
    std::deque<std::pair<Instant, bool>> events; // true: a retry
    for (int tick = 0; tick < 4000; ++tick) {
        now += std::chrono::milliseconds(10);
        for (int n = 0; n < requestsPerTick; ++n) {
            budgets[static_cast<std::size_t>(tick + n) % Entries].recordRequest();
            events.emplace_back(now, false);
        }
        for (RetryBudget &it : budgets) {
            while (it.tryWithdraw(Entries, now)) {
                events.emplace_back(now, true);
            }
        }
        while (!events.empty() && now - events.front().first > settings.window) {
            events.pop_front();
        }
        const auto retries = std::count_if(events.begin(), events.end(), [](const auto &it) { return it.second; });
        const auto requests = static_cast<double>(events.size()) - static_cast<double>(retries);
        REQUIRE(static_cast<double>(retries) <= settings.ratio * requests + settings.floor);
    }
}

TEST_CASE("a single entry may use the whole budget")
{
    RetryBudgetSettings settings;
    settings.floor = 60;
    RetryBudget budget(settings, Instant {});
    int taken = 0;
    for (int tick = 1; tick <= 1000; ++tick) {
        taken += budget.tryWithdraw(1, Instant {} + std::chrono::milliseconds(10 * tick)) ? 1 : 0;
    }
    CHECK(taken >= 20);
    CHECK(taken <= 60);
}

TEST_CASE("the shares of a split follow the weights in short sequences too")
{
    SeededRandom random(7);
    SplitChooser chooser(random);
    Routing::Route route;
    route.name = std::string("r");
    route.split = { { ServiceId("a"), 90 }, { ServiceId("b"), 10 }, { ServiceId("c"), 0 } };
    std::array<int, 3> counts {};
    for (int n = 0; n < 300; ++n) {
        const std::string service = chooser.choose(route).value();
        ++counts.at(static_cast<std::size_t>(service[0] - 'a'));
    }
    CHECK(counts[0] == Approx(270).margin(2));
    CHECK(counts[1] == Approx(30).margin(2));
    CHECK(counts[2] <= 1);
}

TEST_CASE("log lines about requests are rate-limited, and good requests are sampled")
{
    RequestLog log(RequestLogSettings { 10, 5 });
    Instant now {};
    int good = 0;
    for (int n = 0; n < 20; ++n) {
        good += log.admit(true, now) ? 1 : 0;
    }
    CHECK(good == 4);
    int bad = 0;
    for (int n = 0; n < 20; ++n) {
        bad += log.admit(false, now) ? 1 : 0;
    }
    CHECK(bad == 6);
    CHECK(log.dropped() == 14);
    now += std::chrono::seconds(1);
    CHECK(log.admit(false, now));
}
