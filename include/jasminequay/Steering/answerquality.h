// Tells failed answers from good ones by their size and time, as an instance cannot read them. Uses no clock
// or socket.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace jasminequay
{

/// What the size and time of an answer say about it.
enum class AnswerVerdict : std::uint8_t {
    Unknown, ///< Too few answers of the route have been seen.
    Good,
    Failed, ///< Much smaller and much quicker than usual: an error, or the refusal of a full target.
};

/// A running median and the median distance from it. Both move by steps of fixed size, so that single
/// outliers do not shift them.
class RunningMedian
{
public:
    /// Starts with a set of values, which must not be empty.
    explicit RunningMedian(std::vector<double> values);

    void add(double value);

    [[nodiscard]] double median() const
    {
        return m_median;
    }

    /// Returns an estimate of the standard deviation.
    [[nodiscard]] double deviation() const;

private:
    double m_median;
    double m_medianDistance;
};

/// Judges the answers of one route. An instance sees how many bytes the caller acknowledges and when. Errors
/// and refusals carry only headers and need no work, so they are far below the usual size and time. If the
/// usual answers of a route are as small or as quick as errors, none is judged to have failed.
class AnswerQuality
{
public:
    /// Records an answer: the bytes that its first acknowledgement covers and the time since its request.
    AnswerVerdict record(std::uint32_t bytes, Duration time, TimePoint now);

    /// Returns the time after which a request without an answer is overdue; the maximum while the usual time
    /// is not known.
    [[nodiscard]] Duration overdueAfter() const;

private:
    struct Usual {
        RunningMedian logarithmOfSize;
        RunningMedian logarithmOfTime;
    };

    void learn(double logarithmOfSize, double logarithmOfTime);
    [[nodiscard]] bool isFailed(double logarithmOfSize, double logarithmOfTime) const;

    std::vector<double> m_firstSizes;
    std::vector<double> m_firstTimes;
    std::optional<Usual> m_usual;
    TimePoint m_failingSince; ///< When the first of the latest answers, all of which failed, arrived.
};

} // namespace jasminequay
