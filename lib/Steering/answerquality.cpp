#include "jasminequay/Steering/answerquality.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jasminequay
{

/// The answers from which the first estimate is made. More than half of them must be good.
constexpr std::size_t FirstAnswers = 15;

/// The step, in logarithms, by which one answer moves an estimate.
constexpr double EstimateStep = 0.02;

/// The standard deviation of a normal distribution, as a multiple of the median distance from its median.
constexpr double DeviationOfMedianDistance = 1.4826;

/// An answer is short if its size is below the usual one by this many deviations, and below this share of it.
constexpr double ShortDeviations = 3;
constexpr double ShortShare = 0.4;

/// An answer is quick if it took less than this share of the usual time.
constexpr double QuickShare = 0.5;

/// Sizes above this one are counted as this one. The first acknowledgement of a longer answer covers one
/// packet or two.
constexpr std::uint32_t LargestSize = 1200;

/// If all answers fail for this long, what is usual has changed.
constexpr Duration RelearnTime = std::chrono::seconds(10);

/// A request is overdue after this multiple of the usual time, but not before the minimum: the work of a
/// request varies, and a lost packet delays it by a retransmission interval of 200 ms.
constexpr double OverdueFactor = 4;
constexpr std::chrono::duration<double> MinimumOverdueTime{0.3};

static double medianOf(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

static std::vector<double> distancesFrom(double origin, std::vector<double> values)
{
    for (double &value : values) {
        value = std::abs(value - origin);
    }
    return values;
}

RunningMedian::RunningMedian(std::vector<double> values)
    : m_median(medianOf(values))
    , m_medianDistance(medianOf(distancesFrom(m_median, std::move(values))))
{
}

void RunningMedian::add(double value)
{
    const double distance = std::abs(value - m_median);
    m_median += std::clamp(value - m_median, -EstimateStep, EstimateStep);
    m_medianDistance += std::clamp(distance - m_medianDistance, -EstimateStep, EstimateStep);
}

double RunningMedian::deviation() const
{
    return DeviationOfMedianDistance * m_medianDistance;
}

void AnswerQuality::learn(double logarithmOfSize, double logarithmOfTime)
{
    if (m_usual) {
        m_usual->logarithmOfSize.add(logarithmOfSize);
        m_usual->logarithmOfTime.add(logarithmOfTime);
        return;
    }
    m_firstSizes.push_back(logarithmOfSize);
    m_firstTimes.push_back(logarithmOfTime);
    if (m_firstSizes.size() == FirstAnswers) {
        m_usual = Usual{
            RunningMedian(std::exchange(m_firstSizes, {})), RunningMedian(std::exchange(m_firstTimes, {}))};
    }
}

bool AnswerQuality::isFailed(double logarithmOfSize, double logarithmOfTime) const
{
    const RunningMedian &size = m_usual->logarithmOfSize;
    const double distance = std::max(ShortDeviations * size.deviation(), -std::log(ShortShare));
    const bool isShort = logarithmOfSize < size.median() - distance;
    const bool isQuick = logarithmOfTime < m_usual->logarithmOfTime.median() + std::log(QuickShare);
    return isShort && isQuick;
}

AnswerVerdict AnswerQuality::record(std::uint32_t bytes, Duration time, TimePoint now)
{
    constexpr std::chrono::duration<double> ShortestTime{1e-5};
    const double logarithmOfSize = std::log(std::clamp<std::uint32_t>(bytes, 1, LargestSize));
    const double logarithmOfTime
        = std::log(std::max(std::chrono::duration<double>(time), ShortestTime).count());
    if (!m_usual) {
        learn(logarithmOfSize, logarithmOfTime);
        return AnswerVerdict::Unknown;
    }
    if (!isFailed(logarithmOfSize, logarithmOfTime)) {
        m_failingSince = {};
        learn(logarithmOfSize, logarithmOfTime);
        return AnswerVerdict::Good;
    }
    if (m_failingSince == TimePoint{}) {
        m_failingSince = now;
    } else if (now - m_failingSince >= RelearnTime) {
        *this = AnswerQuality();
        return AnswerVerdict::Unknown;
    }
    return AnswerVerdict::Failed;
}

Duration AnswerQuality::overdueAfter() const
{
    if (!m_usual) {
        return Duration::max();
    }
    const std::chrono::duration<double> usual{std::exp(m_usual->logarithmOfTime.median())};
    return std::chrono::duration_cast<Duration>(std::max(OverdueFactor * usual, MinimumOverdueTime));
}

} // namespace jasminequay
