// The recent answer times of a target or of a data centre. Uses no clock.
#pragma once

#include "jasminequay/Support/timepoint.h"

namespace jasminequay
{

/// A moving average of answer times relative to the usual time of their routes. It decays within seconds
/// towards what is expected without evidence.
class RecentTime
{
public:
    /// `answerWeight` is the weight of one answer in the average.
    explicit RecentTime(double answerWeight = 0.3)
        : m_answerWeight(answerWeight)
    {
    }

    /// Records an answer; 1 is the usual time.
    void record(double relativeTime, TimePoint now);

    /// Returns the average, in which `expected` stands for the evidence that is missing or has decayed.
    [[nodiscard]] double value(double expected, TimePoint now) const;

private:
    [[nodiscard]] double decayFactor(TimePoint now) const;

    double m_answerWeight;
    double m_sum = 0; ///< The weighted sum of the times.
    double m_weight = 0; ///< The sum of the weights, at most 1.
    TimePoint m_recordedAt;
};

} // namespace jasminequay
