#include "jasminequay/Steering/targetpace.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace jasminequay
{

/// The weight of one response in the moving averages, which cover about ten responses.
constexpr double ResponseWeight = 0.2;

/// The maximum share of the objective that one response counts for: a delay due to a lost packet is not the
/// target's.
constexpr double MaximumShare = 3;

/// The time in which past response times decay to 1/e, about a third.
constexpr std::chrono::duration<double> DecayTime{1.5};

void TargetPace::recordResponse(double objectiveShare, TimePoint now)
{
    const double share = std::min(objectiveShare, MaximumShare);
    const double previousWeight = (1 - ResponseWeight) * decayFactor(now);
    m_meanTime = previousWeight * m_meanTime + ResponseWeight * share;
    m_meanSquare = previousWeight * m_meanSquare + ResponseWeight * share * share;
    m_lastResponseAt = now;
}

double TargetPace::objectiveShare(TimePoint now) const
{
    return m_meanTime > 0 ? m_meanSquare / m_meanTime * decayFactor(now) : 0;
}

/// Returns the factor by which earlier responses have decayed; zero if there were none.
double TargetPace::decayFactor(TimePoint now) const
{
    if (m_lastResponseAt == TimePoint{}) {
        return 0;
    }
    const std::chrono::duration<double> since = now - m_lastResponseAt;
    return std::exp(-since / DecayTime);
}

} // namespace jasminequay
