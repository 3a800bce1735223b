// A sum whose terms lose weight exponentially with their age. Uses no clock.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace jasminequay
{

/// Sums amounts over roughly the last `time`: an amount has the weight 1/e at that age.
class DecayingSum
{
public:
    explicit DecayingSum(Duration time)
        : m_time(time)
    {
    }

    void add(double amount, TimePoint now)
    {
        m_value = value(now) + amount;
        m_firstAt = m_firstAt == TimePoint{} ? now : m_firstAt;
        m_addedAt = now;
    }

    /// Returns the sum of the weighted amounts.
    [[nodiscard]] double value(TimePoint now) const
    {
        return m_value * std::exp(-std::chrono::duration<double>(now - m_addedAt) / m_time);
    }

    /// Returns the average amount per second. It is exact also while less than `time` has passed.
    [[nodiscard]] double rate(TimePoint now) const
    {
        if (m_firstAt == TimePoint{}) {
            return 0;
        }
        const std::chrono::duration<double> age = std::max(now - m_firstAt, MinimumAge);
        return value(now) / (m_time.count() * (1 - std::exp(-age / m_time)));
    }

private:
    /// Over a shorter time a rate would follow from one or two amounts.
    static constexpr Duration MinimumAge = std::chrono::milliseconds(100);

    std::chrono::duration<double> m_time;
    double m_value = 0;
    TimePoint m_firstAt;
    TimePoint m_addedAt;
};

} // namespace jasminequay
