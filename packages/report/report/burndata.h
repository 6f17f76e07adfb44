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

/// What a contract promises.
struct Objective {
    /// Share of calls, per 1,000, that are answered within the latency; 1 to 999.
    std::uint32_t permille = 0;
    Duration latency {};

    bool operator==(const Objective &) const = default;
};

/// The windows of one customer, with the objective that was in force last.
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

/// What one entry, or several together, measured.
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

/// The sum of the data of several entries. The objective of the highest version is kept. An instance that occurs twice is
/// counted once.
BurnData merge(std::span<const BurnData> parts);

}
