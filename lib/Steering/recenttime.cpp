#include "jasminequay/Steering/recenttime.h"

#include <algorithm>
#include <cmath>

namespace jasminequay
{

/// The maximum that one answer counts for: a delay due to a lost packet is not the target's.
constexpr double MaximumRelativeTime = 20;

/// The time in which evidence decays to 1/e, about a third.
constexpr std::chrono::duration<double> DecayTime{1.5};

double RecentTime::decayFactor(TimePoint now) const
{
    const std::chrono::duration<double> since = now - m_recordedAt;
    return m_weight > 0 ? std::exp(-std::max(since / DecayTime, 0.0)) : 0;
}

void RecentTime::record(double relativeTime, TimePoint now)
{
    const double previousWeight = (1 - m_answerWeight) * decayFactor(now);
    m_sum = previousWeight * m_sum + m_answerWeight * std::min(relativeTime, MaximumRelativeTime);
    m_weight = previousWeight * m_weight + m_answerWeight;
    m_recordedAt = now;
}

double RecentTime::value(double expected, TimePoint now) const
{
    const double factor = decayFactor(now);
    return factor * m_sum + (1 - factor * m_weight) * expected;
}

} // namespace jasminequay
