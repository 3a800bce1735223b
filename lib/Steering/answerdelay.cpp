#include "jasminequay/Steering/answerdelay.h"

#include <algorithm>

namespace jasminequay
{

using std::chrono::milliseconds;

constexpr Duration RatioTime = milliseconds(250);
constexpr Duration LatestTime = milliseconds(100);

/// The answers of a route from which its usual time is known well enough for ratios.
constexpr unsigned KnownAnswers = 8;

/// The number of answers over which the usual time is averaged.
constexpr unsigned UsualAnswers = 200;

/// One answer counts for at most this ratio: a delay due to a lost packet is not the target's.
constexpr double MaximumRatio = 8;

AnswerDelay::AnswerDelay()
    : m_ratios(RatioTime)
    , m_latestRatios(LatestTime)
{
}

void AnswerDelay::recordAnswer(std::uint64_t route, Duration time, bool isCalm, TimePoint now)
{
    UsualTime &usual = m_usual[route];
    if (isCalm || usual.answers < KnownAnswers) {
        usual.answers = std::min(usual.answers + 1, UsualAnswers);
        usual.seconds += (std::chrono::duration<double>(time).count() - usual.seconds) / usual.answers;
    }
    if (const std::optional<double> ratio = ratioOf(route, time)) {
        m_ratios.add(std::min(*ratio, MaximumRatio), now);
        m_latestRatios.add(std::min(*ratio, MaximumRatio), now);
    }
}

std::optional<double> AnswerDelay::ratioOf(std::uint64_t route, Duration time) const
{
    const auto usual = m_usual.find(route);
    if (usual == m_usual.end() || usual->second.answers < KnownAnswers || usual->second.seconds <= 0) {
        return std::nullopt;
    }
    return std::chrono::duration<double>(time).count() / usual->second.seconds;
}

} // namespace jasminequay
