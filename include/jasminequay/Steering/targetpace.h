// Measures the response times of a target from the requests that this instance forwards.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <cstdint>

namespace jasminequay
{

/// The requests of this instance in flight at one target, and the target's recent response times. The
/// response times decay, so that a target that was slow gets some requests again and its recovery is
/// detected.
class TargetPace
{
public:
    /// Records that a request was sent.
    void recordRequest()
    {
        ++m_inFlight;
    }

    /// Records that a request is no longer in flight: it was answered, abandoned or moved.
    void recordRequestEnd()
    {
        m_inFlight -= m_inFlight > 0 ? 1 : 0;
    }

    /// Records a response time as a share of its route's objective.
    void recordResponse(double objectiveShare, TimePoint now);

    [[nodiscard]] std::uint32_t inFlight() const
    {
        return m_inFlight;
    }

    /// Returns the recent response time as a share of the objective; it decays towards zero. The mean is
    /// weighted by the times themselves, so that fast refusals do not make a full target look fast.
    [[nodiscard]] double objectiveShare(TimePoint now) const;

private:
    [[nodiscard]] double decayFactor(TimePoint now) const;

    std::uint32_t m_inFlight = 0;
    double m_meanTime = 0; ///< The moving average of the response times.
    double m_meanSquare = 0; ///< The moving average of their squares.
    TimePoint m_lastResponseAt;
};

} // namespace jasminequay
