#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/id.h"
#include "base/resultcode.h"
#include "report/burnwindows.h"

namespace Galenabarrow::Report
{

/// The latency objective of a contract.
struct Objective {
    /// Share of calls, per 1,000, that have to be answered within the latency; 1 to 999.
    std::uint32_t permille = 0;
    Duration latency {};

    bool operator==(const Objective &) const = default;
};

/// The windows of one customer, with the objective of the newest known contract version.
struct CustomerBurn {
    CustomerId customer;
    Version version;
    Objective objective;
    BurnWindows::Counts windows;

    bool operator==(const CustomerBurn &) const = default;
};

/// Latencies of the answered calls of one customer to one service since the entry started.
struct LatencySeries {
    CustomerId customer;
    ServiceId service;
    /// LatencyHistogram::BucketCount elements.
    std::vector<std::uint64_t> counts;
    Duration sum {};

    bool operator==(const LatencySeries &) const = default;
};

/// Measurements of one entry, or the sums of several.
struct BurnData {
    /// The entries that the data is from.
    std::vector<InstanceId> instances;
    std::vector<CustomerBurn> customers;
    std::vector<LatencySeries> series;

    bool operator==(const BurnData &) const = default;
};

/// The answer to GET /v1/burn.
std::string toJson(const BurnData &data);
/// Fails with BodyMalformed and all faults, one per line.
Result<BurnData> burnDataFromJson(std::string_view text);

/// The sum of the data of several entries, with the objective of each customer's highest contract version. A part that
/// contains an instance of an earlier part is skipped, so that no instance is counted twice.
BurnData merge(std::span<const BurnData> parts);

}
