#include "jasminequay/Steering/targetpace.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace jasminequay
{

/// The weight of one answer in the moving mean: some ten answers make it up.
constexpr double AnswerWeight = 0.2;

/// One answer counts for at most this share: a lost packet says nothing about the target.
constexpr double LargestShare = 3;

/// What was learnt falls to a third in this time.
constexpr std::chrono::duration<double> FadingTime{1.5};

void TargetPace::noteAnswer(double objectiveShare, TimePoint now)
{
    const double share = std::min(objectiveShare, LargestShare);
    const double kept = (1 - AnswerWeight) * keptShare(now);
    m_time = kept * m_time + AnswerWeight * share;
    m_square = kept * m_square + AnswerWeight * share * share;
    m_answeredAt = now;
}

double TargetPace::objectiveShare(TimePoint now) const
{
    return m_time > 0 ? m_square / m_time * keptShare(now) : 0;
}

/// Returns what is left of earlier answers.
double TargetPace::keptShare(TimePoint now) const
{
    if (m_answeredAt == TimePoint{}) {
        return 0;
    }
    const std::chrono::duration<double> since = now - m_answeredAt;
    return std::exp(-since / FadingTime);
}

} // namespace jasminequay
