// How busy the targets of one service are, as the times of answers show, and how many requests may be under
// way there from one instance. No clock or socket.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <limits>

namespace jasminequay
{

/// When a queue is seen, and how the limit follows it.
struct LoadLimits {
    bool isEnabled = true;
    Duration interval = std::chrono::milliseconds(100);
    std::uint32_t leastAnswers = 6; ///< An interval lasts until this many answers have come.
    /// Answers that take this share of their objective in the mean, in so many intervals in a row, show a
    /// queue: a shorter peak is over by then.
    double lateShare = 0.6;
    unsigned lateIntervals = 2;
    /// The share that the limit aims at: the slowest of twenty answers then still meets the objective.
    double wantedShare = 0.5;
    double largestFall = 0.7; ///< Bounds one step of the limit.
    double largestRise = 1.2;
    double restingRoom = 1.6; ///< The limit rests once it is this many times what is under way.
    double priorityRoom = 0.25; ///< The room that each level of priority has above the one below it.
    Duration memory
        = std::chrono::seconds(1); ///< What was learnt is forgotten after so long without answers.
};

/// The answers of one interval, each as its time divided by its objective. Times count by their own length,
/// so that quick refusals of a full target do not make the others look quick.
struct AnswerTimes {
    double sum = 0; ///< Of the times.
    double sumOfSquares = 0;
    std::uint32_t count = 0;
};

/// Limits the requests under way at a service from one instance. The limit rests while answers come well
/// within their objectives. Where they are late interval after interval a queue stands at the targets: the
/// limit is then set to what would bring the answers back to the wanted share of the objective, and follows
/// it in bounded steps. It never falls below what the targets of the service run at a time, as far as this
/// instance can fill them. In the manner of gradient limits; the test for a standing queue is that of
/// CoDel (Nichols and Jacobson, "Controlling Queue Delay", 2012).
class ServiceLoad
{
public:
    explicit ServiceLoad(const LoadLimits &limits = {})
        : m_limits(limits)
    {
    }

    /// Takes an answer: the time since its request was sent, as a share of the route's objective. Returns
    /// whether an interval is complete, so that endInterval() is to be called.
    [[nodiscard]] bool noteAnswer(double objectiveShare, TimePoint now);

    /// Sets the limit after an interval. `underWay` counts the requests that are under way now, `slots` those
    /// that the targets run at a time.
    void endInterval(std::uint32_t underWay, double slots, TimePoint now);

    /// Tells whether another flow may open. `underWay` is as above; `levelsAbove` counts the priorities of
    /// the service that are lower than the flow's.
    [[nodiscard]] bool admits(std::uint32_t underWay, std::uint32_t levelsAbove, TimePoint now) const;

    /// Tells whether a queue stands at the targets.
    [[nodiscard]] bool isOverloaded(TimePoint now) const;

    /// Returns the mean share of their objectives that answers took lately; zero where there were none.
    [[nodiscard]] double objectiveShare(TimePoint now) const;

    /// Returns the requests that may be under way while a queue stands.
    [[nodiscard]] double limit() const
    {
        return m_limit;
    }

private:
    LoadLimits m_limits;
    AnswerTimes m_interval;
    TimePoint m_intervalStart;
    TimePoint m_endedAt; ///< When the last interval with answers ended.
    double m_share = 0; ///< The mean of the last interval.
    double m_limit = std::numeric_limits<double>::infinity();
    unsigned m_lateIntervals = 0; ///< In a row.
};

} // namespace jasminequay
