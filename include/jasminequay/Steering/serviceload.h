// Estimates the load of the targets of one service from response times, and limits the requests that one
// instance may have in flight there. Uses no clock or socket.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <limits>

namespace jasminequay
{

/// When a queue is detected, and how the limit is adapted to it.
struct LoadLimits {
    bool isEnabled = true;
    Duration interval = std::chrono::milliseconds(100);
    std::uint32_t minimumResponses = 6; ///< An interval lasts until this many responses have arrived.
    /// A queue is detected when responses take this share of their objective on average in `lateIntervals`
    /// consecutive intervals. A shorter peak is over by then.
    double lateShare = 0.6;
    unsigned lateIntervals = 2;
    /// The share of the objective that the limit aims at: the slowest of twenty responses then still meets
    /// the objective.
    double desiredShare = 0.5;
    double minimumFactor = 0.7; ///< Lower bound of the factor by which one step changes the limit.
    double maximumFactor = 1.2; ///< Upper bound of that factor.
    double liftFactor = 1.6; ///< The limit is lifted once it is this many times the requests in flight.
    /// The share of the limit that each priority level may use beyond the level below it.
    double priorityHeadroom = 0.25;
    /// The limit and the load expire after this time without responses.
    Duration expiry = std::chrono::seconds(1);
};

/// The response times of one interval, each divided by its objective. The mean is weighted by the times
/// themselves, so that fast refusals by a full target do not hide slow responses.
struct ResponseTimes {
    double sum = 0; ///< The sum of the times.
    double sumOfSquares = 0;
    std::uint32_t count = 0;
};

/// Limits the requests of one instance in flight at a service. There is no limit while responses arrive well
/// within their objectives. Where they are late in consecutive intervals, a standing queue has formed at the
/// targets: the limit is then set so that responses return to the desired share of the objective, and is
/// adapted in bounded steps. It never falls below this instance's part of the targets' slots. This is a
/// gradient-based concurrency limit; the test for a standing queue is that of CoDel (Nichols and Jacobson,
/// "Controlling Queue Delay", 2012).
class ServiceLoad
{
public:
    explicit ServiceLoad(const LoadLimits &limits = {})
        : m_limits(limits)
    {
    }

    /// Records a response: the time since its request was sent, as a share of the route's objective. Returns
    /// whether the interval is complete, in which case endInterval() must be called.
    [[nodiscard]] bool recordResponse(double objectiveShare, TimePoint now);

    /// Updates the limit after an interval. `inFlight` is the number of requests in flight now, `slots` the
    /// number of requests that the targets process at a time.
    void endInterval(std::uint32_t inFlight, double slots, TimePoint now);

    /// Returns whether another flow may open. `inFlight` is as above; `levelsAboveLowest` is the number of
    /// priority levels of the service below that of the flow.
    [[nodiscard]] bool admits(std::uint32_t inFlight, std::uint32_t levelsAboveLowest, TimePoint now) const;

    /// Returns whether a standing queue was detected at the targets.
    [[nodiscard]] bool isOverloaded(TimePoint now) const;

    /// Returns the mean response time in the last interval as a share of the objective; zero without recent
    /// responses.
    [[nodiscard]] double objectiveShare(TimePoint now) const;

    /// Returns the maximum number of requests in flight; infinity while there is no limit.
    [[nodiscard]] double limit() const
    {
        return m_limit;
    }

private:
    LoadLimits m_limits;
    ResponseTimes m_interval;
    TimePoint m_intervalStart;
    TimePoint m_intervalEndedAt; ///< When the last interval ended.
    double m_share = 0; ///< The weighted mean of the last interval.
    double m_limit = std::numeric_limits<double>::infinity();
    unsigned m_lateIntervals = 0; ///< Consecutive late intervals up to the last one.
};

} // namespace jasminequay
