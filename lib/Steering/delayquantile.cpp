#include "jasminequay/Steering/delayquantile.h"

#include <algorithm>
#include <cmath>

namespace jasminequay
{

constexpr double Quantile = 0.99;

/// With fewer delays than this the quantile is not estimated.
constexpr std::uint32_t MinimumCount = 50;

/// All counts are halved when this many delays are counted, and after each interval.
constexpr std::uint32_t MaximumCount = 2048;
constexpr Duration DecayInterval = std::chrono::seconds(30);

/// The upper bound of the lowest bucket. The others are higher by a factor of 2^(1/8) each, up to 470 ms.
constexpr Duration LowestBound = std::chrono::microseconds(250);
constexpr double BucketsPerDoubling = 8;

std::size_t DelayQuantile::bucketOf(Duration delay)
{
    if (delay <= LowestBound) {
        return 0;
    }
    const double ratio = std::chrono::duration<double>(delay) / std::chrono::duration<double>(LowestBound);
    const auto bucket = static_cast<std::size_t>(std::ceil(std::log2(ratio) * BucketsPerDoubling));
    return std::min(bucket, BucketCount - 1);
}

void DelayQuantile::record(Duration delay, TimePoint now)
{
    decay(now);
    ++m_counts[bucketOf(delay)];
    ++m_total;
}

void DelayQuantile::decay(TimePoint now)
{
    if (m_total < MaximumCount && now - m_decayedAt < DecayInterval) {
        return;
    }
    m_decayedAt = now;
    m_total = 0;
    for (std::uint16_t &count : m_counts) {
        count /= 2;
        m_total += count;
    }
}

std::optional<Duration> DelayQuantile::value() const
{
    if (m_total < MinimumCount) {
        return std::nullopt;
    }
    const double rank = Quantile * m_total;
    double cumulative = 0;
    std::size_t bucket = 0;
    for (; bucket + 1 < BucketCount; ++bucket) {
        cumulative += m_counts[bucket];
        if (cumulative >= rank) {
            break;
        }
    }
    const double factor = std::exp2(static_cast<double>(bucket) / BucketsPerDoubling);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(LowestBound) * factor);
}

} // namespace jasminequay
