#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "base/clock.h"

namespace Galenabarrow::Report
{

/// Counts of latencies in buckets from 64 us to 67 s, with one more bucket on each side of this range. The edges of the
/// buckets grow by a factor of 2^(1/8), so that a quantile within the range is at most 9% above the true value. The object
/// takes about 1.4 KB.
class LatencyHistogram
{
public:
    static constexpr std::size_t BucketsPerOctave = 8;
    static constexpr std::size_t Octaves = 20;
    /// Includes the buckets below and above the range.
    static constexpr std::size_t BucketCount = BucketsPerOctave * Octaves + 2;

    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram &&) noexcept;
    LatencyHistogram &operator=(LatencyHistogram &&) noexcept;

    /// Does not allocate.
    void record(Duration latency);
    /// Adds the counts of another histogram, which must have BucketCount elements.
    void add(std::span<const std::uint64_t> counts, Duration sum);

    std::uint64_t count() const;
    Duration sum() const;
    /// The counts of all buckets in the order of their edges.
    std::vector<std::uint64_t> counts() const;
    /// The upper edge of the bucket with the \p fraction (0 to 1) quantile, or the end of the range; 0 without counts.
    Duration quantile(double fraction) const;

    /// The upper edge of \p bucket. The last bucket has none, so its lower edge is returned.
    static Duration upperEdge(std::size_t bucket);

private:
    struct Buckets;
    std::unique_ptr<Buckets> m_buckets;
    std::uint64_t m_count = 0;
    Duration m_sum {};
};

}
