// How soon a target answers, as the requests that this instance forwards show.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <cstdint>

namespace jasminequay
{

/// The requests under way at one target from this instance, and the time that its answers took lately. What
/// was learnt fades, so that a target that was slow gets a little work again and its recovery is seen.
class TargetPace
{
public:
    /// A request was sent.
    void noteRequest()
    {
        ++m_underWay;
    }

    /// A request is no longer counted: it was answered, given up or moved.
    void noteEnd()
    {
        m_underWay -= m_underWay > 0 ? 1 : 0;
    }

    /// Takes the time of an answer as a share of its route's objective.
    void noteAnswer(double objectiveShare, TimePoint now);

    [[nodiscard]] std::uint32_t underWay() const
    {
        return m_underWay;
    }

    /// Returns the share of their objectives that answers took lately; it fades towards zero. Times count by
    /// their own length, so that a full target does not look quick for its quick refusals.
    [[nodiscard]] double objectiveShare(TimePoint now) const;

private:
    [[nodiscard]] double keptShare(TimePoint now) const;

    std::uint32_t m_underWay = 0;
    double m_time = 0; ///< The moving mean of the times.
    double m_square = 0; ///< The moving mean of their squares.
    TimePoint m_answeredAt;
};

} // namespace jasminequay
