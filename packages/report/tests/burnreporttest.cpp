#include "report/burnreport.h"
#include "report/latencyhistogram.h"

#include "base/random.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Report;
using namespace std::chrono_literals;

namespace
{

CustomerBurn customerBurn(const std::string &customer, std::uint64_t version, BurnWindows::Counts windows)
{
    return CustomerBurn { CustomerId(customer), Version(version), Objective { 990, 50ms }, windows };
}

BurnData dataOf(const std::string &instance, std::vector<CustomerBurn> customers)
{
    LatencySeries series { CustomerId("a"), ServiceId("s"), std::vector<std::uint64_t>(LatencyHistogram::BucketCount), 40ms };
    series.counts[70] = 3;
    return BurnData { { InstanceId(instance) }, std::move(customers), { series } };
}

}

// Guards against quantiles below the true value or more than 9% above it.
TEST_CASE("a quantile is at most 9% above the true value", "[report]")
{
    SeededRandom random(11);
    LatencyHistogram histogram;
    std::vector<Duration> values;
    for (int n = 0; n < 10'000; ++n) {
        values.emplace_back(100 + random.below(2'000'000));
        histogram.record(values.back());
    }
    std::sort(values.begin(), values.end());
    for (const double fraction : { 0.001, 0.5, 0.99, 0.999, 1.0 }) {
        const Duration exact = values[static_cast<std::size_t>(fraction * 10'000) - 1];
        REQUIRE(histogram.quantile(fraction) >= exact);
        REQUIRE(histogram.quantile(fraction) <= exact * 1.0906);
    }
    REQUIRE(histogram.count() == 10'000);
}

// Guards against latencies outside of the range that are lost or corrupt the histogram.
TEST_CASE("latencies outside of the range are counted", "[report]")
{
    LatencyHistogram histogram;
    REQUIRE(histogram.quantile(0.99) == 0us);
    for (const Duration it : { Duration(-5), Duration(0), Duration(63), Duration(24h) }) {
        histogram.record(it);
    }
    REQUIRE(histogram.counts().front() == 3);
    REQUIRE(histogram.counts().back() == 1);
    REQUIRE(histogram.quantile(0.5) == 64us);
    REQUIRE(histogram.quantile(1.0) == 67'108'864us);

    LatencyHistogram sum;
    sum.add(histogram.counts(), histogram.sum());
    REQUIRE(sum.counts() == histogram.counts());
    REQUIRE(sum.count() == 4);
}

// Guards against an alert on a short spike alone or on one that is over, and against a missing alert at the threshold.
TEST_CASE("alerts need both windows at the threshold", "[report]")
{
    struct Row {
        const char *name;
        BurnWindows::Counts windows;
        const char *alert;
    };
    // The objective allows 1 bad call in 100, so 144 of 1,000 are a burn rate of 14.4.
    const Row rows[] = {
        { "quiet", { { { 1000, 0 }, { 1000, 0 }, { 1000, 0 }, { 1000, 9 } } }, "-" },
        { "no-calls", { { { 0, 0 }, { 0, 0 }, { 0, 0 }, { 0, 0 } } }, "-" },
        { "fast", { { { 1000, 144 }, { 1000, 100 }, { 1000, 144 }, { 1000, 30 } } }, "page-fast" },
        { "spike", { { { 1000, 900 }, { 1000, 200 }, { 1000, 100 }, { 1000, 5 } } }, "-" },
        { "over", { { { 1000, 0 }, { 1000, 0 }, { 1000, 300 }, { 1000, 59 } } }, "ticket" },
        { "slow", { { { 1000, 10 }, { 1000, 60 }, { 1000, 60 }, { 1000, 60 } } }, "page-slow" },
        { "ticket", { { { 1000, 10 }, { 1000, 10 }, { 1000, 10 }, { 1000, 10 } } }, "ticket" },
    };
    for (const Row &it : rows) {
        const BurnReport report(BurnData { {}, { customerBurn(it.name, 1, it.windows) }, {} });
        INFO(it.name);
        const std::optional<AlertRule> &alert = report.customers().at(0).alert;
        REQUIRE(std::string(alert ? alert->name : "-") == it.alert);
    }
    REQUIRE(burnRate(WindowCounts { 1000, 144 }, Objective { 990, 50ms }).value() == Approx(14.4));
    REQUIRE_FALSE(burnRate(WindowCounts { 0, 0 }, Objective { 990, 50ms }));
}

// Guards against an entry that is counted twice, an outdated objective, and customers that only some entries know.
TEST_CASE("data of several entries is summed", "[report]")
{
    const BurnWindows::Counts one { { { 1, 1 }, { 2, 1 }, { 3, 1 }, { 4, 1 } } };
    const BurnWindows::Counts two { { { 2, 2 }, { 4, 2 }, { 6, 2 }, { 8, 2 } } };
    CustomerBurn newer = customerBurn("a", 2, one);
    newer.objective = Objective { 950, 20ms };
    const BurnData parts[] = { dataOf("e1", { customerBurn("a", 1, one) }), dataOf("e2", { newer, customerBurn("b", 1, one) }),
                               dataOf("e2", { customerBurn("a", 1, one) }) };
    const BurnData sum = merge(parts);
    REQUIRE(sum.instances == std::vector<InstanceId> { InstanceId("e1"), InstanceId("e2") });
    REQUIRE(sum.customers.size() == 2);
    REQUIRE(sum.customers[0].windows == two);
    REQUIRE(sum.customers[0].objective == Objective { 950, 20ms });
    REQUIRE(sum.customers[1].windows == one);
    REQUIRE(sum.series.at(0).counts[70] == 6);
    REQUIRE(sum.series.at(0).sum == 80ms);
}

// Guards against data that changes between entry and operator, and against input that would corrupt the report.
TEST_CASE("burn data is unchanged after a round trip through JSON, and invalid data is rejected", "[report]")
{
    const BurnData data = dataOf("e1", { customerBurn("a", 1, { { { 1, 1 }, { 2, 1 }, { 3, 1 }, { 4, 1 } } }) });
    const std::string good = toJson(data);
    REQUIRE(burnDataFromJson(good).value() == data);

    struct Row {
        const char *from;
        const char *to;
        const char *detail;
    };
    const Row rows[] = {
        { "\"bad\":1", "\"bad\":2", "customers[0].windows[0].bad: expected an integer from 0 to 1" },
        { "\"seconds\":300", "\"seconds\":301", "customers[0].windows[0].seconds: is not 300" },
        { "\"bucket\":70", "\"bucket\":162", "series[0].buckets[0].bucket: expected an integer from 0 to 161" },
        { "\"objectivePermille\":990", "\"objectivePermille\":1000", "customers[0].objectivePermille: expected an integer from 0 to 999" },
        { "\"series\"", "\"serie\"", "series: is missing\nserie: is not a field" },
        { "\"service\":\"s\"", "\"service\":\"s s\"", "series[0].service: is not a name" },
    };
    for (const Row &it : rows) {
        std::string bad = good;
        bad.replace(bad.find(it.from), std::string(it.from).size(), it.to);
        const Result<BurnData> read = burnDataFromJson(bad);
        REQUIRE_FALSE(read);
        REQUIRE(read.error().code == ResultCode::BodyMalformed);
        REQUIRE(read.error().detail == it.detail);
    }
}

// Guards against a report that leaves out the source of its thresholds or prints a rate for a window without calls.
TEST_CASE("the report is written as a table and as JSON", "[report]")
{
    const BurnReport report(dataOf("e1", { customerBurn("a", 1, { { { 0, 0 }, { 100, 20 }, { 100, 20 }, { 100, 20 } } }) }));
    for (const char *it :
         { "99.0% < 50 ms", "           -       20.00       20.00       20.00  page-slow\n", "Site Reliability Workbook" }) {
        REQUIRE_THAT(report.table(), Catch::Matchers::Contains(it));
    }
    for (const char *it : { "\"alert\": \"page-slow\"", "\"burnRate\": null", "\"p99Ms\"", "\"instances\"" }) {
        REQUIRE_THAT(report.json(), Catch::Matchers::Contains(it));
    }
}
