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
constexpr unsigned UsualAnswers = 100;

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
    if (const std::optional<double> known = usualSeconds(route)) {
        const double ratio = std::min(std::chrono::duration<double>(time).count() / *known, MaximumRatio);
        m_ratios.add(ratio, now);
        m_latestRatios.add(ratio, now);
    }
}

std::optional<double> AnswerDelay::usualSeconds(std::uint64_t route) const
{
    const auto usual = m_usual.find(route);
    if (usual == m_usual.end() || usual->second.answers < KnownAnswers || usual->second.seconds <= 0) {
        return std::nullopt;
    }
    return usual->second.seconds;
}

} // namespace jasminequay
