#include "report/latencyhistogram.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include <boost/histogram.hpp>

namespace Galenabarrow::Report
{

namespace
{

namespace Bh = boost::histogram;

/// Edges in microseconds.
constexpr double LowestEdge = 64.0;
constexpr double HighestEdge = LowestEdge * (std::uint64_t { 1 } << LatencyHistogram::Octaves);

using Axis = Bh::axis::regular<double, Bh::axis::transform::log>;
using Storage = Bh::dense_storage<std::uint64_t>;
using Histogram = Bh::histogram<std::tuple<Axis>, Storage>;

Axis makeAxis()
{
    return Axis(static_cast<unsigned>(LatencyHistogram::BucketsPerOctave * LatencyHistogram::Octaves), LowestEdge, HighestEdge);
}

/// The axis numbers the bucket below the range as -1.
int axisIndex(std::size_t bucket)
{
    return static_cast<int>(bucket) - 1;
}

}

struct LatencyHistogram::Buckets {
    Histogram histogram { makeAxis() };
};

LatencyHistogram::LatencyHistogram()
    : m_buckets(std::make_unique<Buckets>())
{
}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&) noexcept = default;
LatencyHistogram &LatencyHistogram::operator=(LatencyHistogram &&) noexcept = default;

void LatencyHistogram::record(Duration latency)
{
    // The axis is logarithmic and has no bucket for 0 or less.
    const Duration positive = std::max(latency, Duration(1));
    m_buckets->histogram(static_cast<double>(positive.count()));
    ++m_count;
    m_sum += positive;
}

void LatencyHistogram::add(std::span<const std::uint64_t> counts, Duration sum)
{
    assert(counts.size() == BucketCount);
    for (std::size_t n = 0; n < BucketCount; ++n) {
        m_buckets->histogram.at(axisIndex(n)) += counts[n];
        m_count += counts[n];
    }
    m_sum += sum;
}

std::uint64_t LatencyHistogram::count() const
{
    return m_count;
}

Duration LatencyHistogram::sum() const
{
    return m_sum;
}

std::vector<std::uint64_t> LatencyHistogram::counts() const
{
    std::vector<std::uint64_t> result(BucketCount);
    for (std::size_t n = 0; n < BucketCount; ++n) {
        result[n] = m_buckets->histogram.at(axisIndex(n));
    }
    return result;
}

Duration LatencyHistogram::quantile(double fraction) const
{
    if (m_count == 0) {
        return Duration::zero();
    }
    const auto rank = static_cast<std::uint64_t>(std::ceil(std::clamp(fraction, 0.0, 1.0) * static_cast<double>(m_count)));
    std::uint64_t below = 0;
    std::size_t bucket = 0;
    while (bucket + 1 < BucketCount) {
        below += m_buckets->histogram.at(axisIndex(bucket));
        if (below >= std::max<std::uint64_t>(rank, 1)) {
            break;
        }
        ++bucket;
    }
    return upperEdge(bucket);
}

Duration LatencyHistogram::upperEdge(std::size_t bucket)
{
    assert(bucket < BucketCount);
    const std::size_t edge = std::min(bucket, BucketCount - 2);
    return Duration(std::llround(LowestEdge * std::exp2(static_cast<double>(edge) / static_cast<double>(BucketsPerOctave))));
}

}
