// Measures how many answers arrive per second. Uses no clock.
#pragma once

#include "jasminequay/Steering/decayingsum.h"

#include <algorithm>

namespace jasminequay
{

/// The rate of answers, averaged over 300 ms and over 100 ms.
class AnswerRate
{
public:
    static constexpr Duration AverageTime = std::chrono::milliseconds(300);

    void add(TimePoint now)
    {
        m_average.add(1, now);
        m_latest.add(1, now);
    }

    /// Returns the average rate per second.
    [[nodiscard]] double average(TimePoint now) const
    {
        return m_average.rate(now);
    }

    /// Returns the higher one of both rates, for a time in which answers become more frequent.
    [[nodiscard]] double rising(TimePoint now) const
    {
        return std::max(m_average.rate(now), m_latest.rate(now));
    }

private:
    DecayingSum m_average{AverageTime};
    DecayingSum m_latest{std::chrono::milliseconds(100)};
};

} // namespace jasminequay
