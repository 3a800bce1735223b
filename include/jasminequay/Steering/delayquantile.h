// Estimates a high quantile of recent delays. Uses no clock or socket.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace jasminequay
{

/// The 99% quantile of recent delays, from a histogram with logarithmic buckets whose older counts decay.
class DelayQuantile
{
public:
    /// Records a delay that ended at `now`.
    void record(Duration delay, TimePoint now);

    /// Returns the upper bound of the bucket of the quantile; nothing if there are too few recent delays.
    [[nodiscard]] std::optional<Duration> value() const;

private:
    static constexpr std::size_t BucketCount = 88;

    [[nodiscard]] static std::size_t bucketOf(Duration delay);
    void decay(TimePoint now);

    std::array<std::uint16_t, BucketCount> m_counts{};
    std::uint32_t m_total = 0;
    TimePoint m_decayedAt;
};

} // namespace jasminequay
