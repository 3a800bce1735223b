// Measures how much longer good answers take than in calm times. Uses no clock or socket.
#pragma once

#include "jasminequay/Steering/decayingsum.h"
#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace jasminequay
{

/// The times of good answers relative to the usual times of their routes. Requests wait before a target is
/// full, so the ratio rises before anything is turned away, and each good answer contributes to it. Errors
/// of broken targets leave it as it is.
class AnswerDelay
{
public:
    AnswerDelay();

    /// Records a good answer of a route. The usual time is learnt only if `isCalm`.
    void recordAnswer(std::uint64_t route, Duration time, bool isCalm, TimePoint now);

    /// Returns the mean of the recent times, each divided by the usual time; one without answers.
    [[nodiscard]] double ratio(TimePoint now) const
    {
        return m_ratios.mean(now);
    }

    /// Returns the weighted number of answers in ratio().
    [[nodiscard]] double answers(TimePoint now) const
    {
        return m_ratios.count(now);
    }

    /// Returns the mean of the latest ratios, which follows a rise sooner than ratio() but varies more.
    [[nodiscard]] double latestRatio(TimePoint now) const
    {
        return m_latestRatios.mean(now);
    }

    /// Returns the weighted number of answers in latestRatio().
    [[nodiscard]] double latestAnswers(TimePoint now) const
    {
        return m_latestRatios.count(now);
    }

    /// Returns the usual time of a route in seconds; nothing while it is unknown.
    [[nodiscard]] std::optional<double> usualSeconds(std::uint64_t route) const;

    /// Takes over the usual times of the same routes in another data centre.
    void copyUsualTimes(const AnswerDelay &other)
    {
        m_usual = other.m_usual;
    }

private:
    struct UsualTime {
        double seconds = 0;
        unsigned answers = 0;
    };

    /// A decaying mean of ratios.
    class MeanRatio
    {
    public:
        explicit MeanRatio(Duration time)
            : m_sum(time)
            , m_count(time)
        {
        }

        void add(double ratio, TimePoint now)
        {
            m_sum.add(ratio, now);
            m_count.add(1, now);
        }

        [[nodiscard]] double count(TimePoint now) const
        {
            return m_count.value(now);
        }

        [[nodiscard]] double mean(TimePoint now) const
        {
            return count(now) > 0 ? m_sum.value(now) / count(now) : 1;
        }

    private:
        DecayingSum m_sum;
        DecayingSum m_count;
    };

    std::unordered_map<std::uint64_t, UsualTime> m_usual; ///< By route.
    MeanRatio m_ratios;
    MeanRatio m_latestRatios;
};

} // namespace jasminequay
