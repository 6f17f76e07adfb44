#include <chrono>
#include <cstdint>
#include <string>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <catch2/catch.hpp>

#include "processfixture.h"

using namespace Galenabarrow::Daemon::Test;

namespace
{

/// The value of a metric without labels; -1 when the page does not have it.
double metric(Cluster &cluster, std::size_t entry, const std::string &name)
{
    const std::string page = "\n" + cluster.operatorRequest(entry, "GET", "/metrics").body;
    const std::size_t begin = page.find("\n" + name + " ");
    return begin == std::string::npos ? -1 : std::stod(page.substr(begin + name.size() + 2));
}

double sum(Cluster &cluster, const std::string &name)
{
    return metric(cluster, 0, name) + metric(cluster, 1, name);
}

std::uint64_t count(const Child &server, const std::string &name)
{
    const std::string body = send(server.value("address"), "GET", "/standin/counts", {}).body;
    return Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>()->getValue<std::uint64_t>(name);
}

void setBehaviour(const Child &server, const std::string &behaviour)
{
    REQUIRE(send(server.value("address"), "POST", "/standin/control", {}, R"({"behaviour":")" + behaviour + R"(","probes":true})").status
            == 200);
}

}

// Guards against a failure that only a caller's call finds, a recovery that only a caller's call finds, a result that is
// not shared with the other entries, and probes that cost more than the budget after a burst (P1).
TEST_CASE("probes find the failure and the recovery of a server without a call", "[daemon][process]")
{
    constexpr std::uint32_t Slots = 16;
    constexpr double BudgetPermille = 5; // the default
    const auto start = std::chrono::steady_clock::now();
    // Longer than the default, so that a busy machine does not make a healthy server fail its probe.
    Cluster cluster(2, { .extraSettings = "[measuring]\nprobe_deadline_ms = 100\n" });
    const std::vector<std::string> arguments { "--slots=" + std::to_string(Slots), "--service_time_us=1000", "--distribution=fixed",
                                               "--probe_time_us=2000" };
    const Child &failing = cluster.startServer(arguments);
    const Child &other = cluster.startServer(arguments);
    setBehaviour(failing, "failing");
    const auto avoided = [&](double expected) {
        return waitUntil([&] {
            return metric(cluster, 0, "galenabarrow_servers_avoided") == expected
                && metric(cluster, 1, "galenabarrow_servers_avoided") == expected;
        });
    };
    REQUIRE(avoided(1));
    REQUIRE(sum(cluster, "galenabarrow_probes_failed_total") >= 1);
    REQUIRE(cluster.totalExecutions() == 0);
    for (int n = 0; n < 200; ++n) {
        REQUIRE(cluster.call(static_cast<std::size_t>(n % 2), "GET", "/stock").outcome == "answered");
    }
    REQUIRE(count(failing, "total") == 0);
    REQUIRE(count(other, "total") == 200);

    setBehaviour(failing, "normal");
    const double healthyBefore = sum(cluster, "galenabarrow_probes_sent_total") - sum(cluster, "galenabarrow_probes_failed_total");
    REQUIRE(avoided(0));
    REQUIRE(sum(cluster, "galenabarrow_probes_sent_total") - sum(cluster, "galenabarrow_probes_failed_total") > healthyBefore);
    REQUIRE(count(failing, "total") == 0);
    for (int n = 0; n < 1000; ++n) {
        REQUIRE(cluster.call(static_cast<std::size_t>(n % 2), "GET", "/stock").outcome == "answered");
    }
    REQUIRE(count(failing, "total") > 0);

    const std::uint64_t spentUs = count(failing, "probeUs") + count(other, "probeUs");
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
    INFO("probes took " << spentUs << " us in " << elapsed.count() << " us, of " << 2 * Slots << " slots");
    REQUIRE(spentUs > 0);
    REQUIRE(static_cast<double>(spentUs) <= elapsed.count() * 2 * Slots * BudgetPermille / 1000);
}
