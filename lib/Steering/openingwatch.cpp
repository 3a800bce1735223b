#include "jasminequay/Steering/openingwatch.h"

#include <algorithm>

namespace jasminequay
{

using std::chrono::milliseconds;

/// An unanswered opening counts for this long. The caller has then retransmitted it, and the next opening
/// shows whether there is an answer now.
constexpr Duration UnansweredLifetime = milliseconds(600);

/// Progress shows for this long that there is a path.
constexpr Duration ProgressLifetime = std::chrono::seconds(2);

/// The least time to wait for an answer. An instance that is short of processor time sees answers late, but
/// rarely by more than this.
constexpr Duration MinimumPatience = milliseconds(40);

/// Callers retransmit an opening after 200 ms; a longer wait would show nothing earlier.
constexpr Duration MaximumPatience = milliseconds(180);

/// The wait for an answer, as a multiple of the mean time of answers.
constexpr int PatienceFactor = 4;

/// Each answer moves the mean time by this part of its distance from it.
constexpr int MeanDivisor = 16;

void OpeningWatch::recordOpening(TimePoint now)
{
    if (!isUnanswered(now)) {
        m_isUnanswered = true;
        m_unansweredSince = now;
    }
}

bool OpeningWatch::isUnanswered(TimePoint now) const
{
    return m_isUnanswered && now - m_unansweredSince <= UnansweredLifetime;
}

bool OpeningWatch::isOverdue(Duration patience, TimePoint now) const
{
    return isUnanswered(now) && now - m_unansweredSince >= patience;
}

bool OpeningWatch::isProbing(TimePoint now) const
{
    const bool isProved = m_progressAt != TimePoint{} && now - m_progressAt <= ProgressLifetime;
    return isUnanswered(now) && !isProved;
}

void OpeningPatience::recordAnswer(Duration time)
{
    m_meanTime += (std::min<Duration>(time, MaximumPatience) - m_meanTime) / MeanDivisor;
}

Duration OpeningPatience::value() const
{
    return std::clamp<Duration>(PatienceFactor * m_meanTime, MinimumPatience, MaximumPatience);
}

} // namespace jasminequay
