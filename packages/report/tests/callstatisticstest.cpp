#include "report/callstatistics.h"

#include <atomic>
#include <cstdlib>
#include <new>

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Report;
using namespace std::chrono_literals;

namespace
{

std::atomic<std::uint64_t> allocationCount { 0 };

Contract contractOf(const std::string &customer, std::size_t services)
{
    Contract contract;
    contract.customer = CustomerId(customer);
    contract.version = Version(1);
    contract.objectivePermille = 990;
    contract.objectiveLatency = 50ms;
    for (std::size_t n = 0; n < services; ++n) {
        contract.services.push_back(ServiceTerms { ServiceId("s" + std::to_string(n)), {}, 1s, 0, 0 });
    }
    return contract;
}

constexpr CallSample Fast { Outcome::Answered, ResultCode::Ok, 10ms };
constexpr CallSample Slow { Outcome::Answered, ResultCode::Ok, 51ms };
constexpr CallSample NotRun { Outcome::NotRun, ResultCode::QueueFull, 1ms };
constexpr CallSample Unknown { Outcome::Unknown, ResultCode::ConnectionLost, 1ms };

}

void *operator new(std::size_t size)
{
    ++allocationCount;
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void *operator new(std::size_t size, const std::nothrow_t &) noexcept
{
    ++allocationCount;
    return std::malloc(size);
}

void operator delete(void *memory, const std::nothrow_t &) noexcept
{
    std::free(memory);
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

// Guards against an allocation for each call, which costs tail latency in a burst.
TEST_CASE("recording a call does not allocate", "[report]")
{
    ManualClock clock;
    CallStatistics statistics(clock);
    statistics.setContract(contractOf("a-customer-with-a-long-name", 2));
    const CustomerId known("a-customer-with-a-long-name");
    const CustomerId unknown("another-customer-with-a-long-name");
    const ServiceId service("s1");
    const std::uint64_t before = allocationCount;
    for (int n = 0; n < 1000; ++n) {
        clock.advance(1min);
        statistics.record(known, service, Fast);
        statistics.record(known, service, NotRun);
        statistics.record(unknown, service, Slow);
    }
    const std::uint64_t after = allocationCount;
    REQUIRE(after == before);
}

// Guards against calls that miss the objective without being counted, and against counts that remain after their window.
TEST_CASE("slow, not run and unknown calls count against the objective until their window has passed", "[report]")
{
    ManualClock clock;
    clock.advance(100h);
    CallStatistics statistics(clock);
    statistics.setContract(contractOf("c", 1));
    const auto record = [&](const CallSample &sample) { statistics.record(CustomerId("c"), ServiceId("s0"), sample); };
    const auto windows = [&] { return statistics.burnData(InstanceId("e")).customers.at(0).windows; };
    for (const CallSample &it : { Fast, Slow, NotRun, Unknown }) {
        record(it);
    }
    REQUIRE(windows() == BurnWindows::Counts { { { 4, 3 }, { 4, 3 }, { 4, 3 }, { 4, 3 } } });

    struct Step {
        Duration step;
        BurnWindows::Counts counts;
    };
    const Step steps[] = {
        { 4min + 54s, { { { 4, 3 }, { 4, 3 }, { 4, 3 }, { 4, 3 } } } }, { 6s, { { { 0, 0 }, { 4, 3 }, { 4, 3 }, { 4, 3 } } } },
        { 25min, { { { 0, 0 }, { 0, 0 }, { 4, 3 }, { 4, 3 } } } },      { 30min, { { { 0, 0 }, { 0, 0 }, { 0, 0 }, { 4, 3 } } } },
        { 5h, { { { 0, 0 }, { 0, 0 }, { 0, 0 }, { 0, 0 } } } },
    };
    for (const Step &it : steps) {
        clock.advance(it.step);
        REQUIRE(windows() == it.counts);
    }
    clock.advance(1000h);
    record(Fast);
    REQUIRE(windows() == BurnWindows::Counts { { { 1, 0 }, { 1, 0 }, { 1, 0 }, { 1, 0 } } });
}

// Guards against memory that grows with the number of customers.
TEST_CASE("series beyond the limit are counted together", "[report]")
{
    ManualClock clock;
    CallStatistics statistics(clock);
    for (std::size_t n = 0; n < CallStatistics::MaxSeries + 10; ++n) {
        statistics.setContract(contractOf("c" + std::to_string(n), 2));
    }
    REQUIRE(statistics.burnData(InstanceId("e")).customers.size() == CallStatistics::MaxSeries);
    REQUIRE(statistics.burnData(InstanceId("e")).series.size() == CallStatistics::MaxSeries);

    statistics.removeContract(CustomerId("c0"));
    statistics.setContract(contractOf("new", 3));
    REQUIRE(statistics.burnData(InstanceId("e")).series.size() == CallStatistics::MaxSeries);

    statistics.record(CustomerId("nobody"), ServiceId("s0"), Fast);
    MetricsText metrics;
    statistics.writeMetrics(metrics);
    REQUIRE_THAT(metrics.text(),
                 Catch::Matchers::Contains("galenabarrow_call_outcomes_total{customer=\"\",service=\"\",outcome=\"answered\"} 1\n"));
}

// Guards against a page that Prometheus rejects: bucket counts that are not cumulative, or a sum or count that does not match.
TEST_CASE("the metrics page has the Prometheus text format", "[report]")
{
    ManualClock clock;
    CallStatistics statistics(clock);
    statistics.setContract(contractOf("c", 1));
    statistics.record(CustomerId("c"), ServiceId("s0"), Fast);
    statistics.record(CustomerId("c"), ServiceId("s0"), Slow);
    statistics.record(CustomerId("c"), ServiceId("s0"), Unknown);
    MetricsText metrics;
    statistics.writeMetrics(metrics);
    for (const char *it : {
             "# TYPE galenabarrow_calls_total counter\n",
             "galenabarrow_calls_total{code=\"0\",name=\"Ok\"} 2\n",
             "galenabarrow_calls_total{code=\"202\",name=\"ConnectionLost\"} 1\n",
             "galenabarrow_call_outcomes_total{customer=\"c\",service=\"s0\",outcome=\"unknown\"} 1\n",
             "# TYPE galenabarrow_call_latency_seconds histogram\n",
             "galenabarrow_call_latency_seconds_bucket{customer=\"c\",service=\"s0\",le=\"6.4e-05\"} 0\n",
             "galenabarrow_call_latency_seconds_bucket{customer=\"c\",service=\"s0\",le=\"0.008192\"} 0\n",
             "galenabarrow_call_latency_seconds_bucket{customer=\"c\",service=\"s0\",le=\"0.016384\"} 1\n",
             "galenabarrow_call_latency_seconds_bucket{customer=\"c\",service=\"s0\",le=\"0.065536\"} 2\n",
             "galenabarrow_call_latency_seconds_bucket{customer=\"c\",service=\"s0\",le=\"+Inf\"} 2\n",
             "galenabarrow_call_latency_seconds_sum{customer=\"c\",service=\"s0\"} 0.061\n",
             "galenabarrow_call_latency_seconds_count{customer=\"c\",service=\"s0\"} 2\n",
         }) {
        REQUIRE_THAT(metrics.text(), Catch::Matchers::Contains(it));
    }
    MetricsText escaped;
    escaped.family("x", MetricsText::Kind::Gauge, "X.").sample({ { "l", "a\"b\\c\nd" } }, 1.5);
    REQUIRE(escaped.text() == "# HELP x X.\n# TYPE x gauge\nx{l=\"a\\\"b\\\\c\\nd\"} 1.5\n");
}
