#include "jasminequay/Fleet/readerplan.h"

#include <algorithm>
#include <utility>

namespace jasminequay
{

using std::chrono::milliseconds;

/// Bounds of the wait of a read for a change.
constexpr Duration ShortestWait = milliseconds(500);
constexpr Duration LongestWait = std::chrono::seconds(5);

/// About a hundred times the few milliseconds of a usual answer, and still short compared with any bound.
constexpr Duration AnswerTimeout = milliseconds(400);

/// The share of the bound that a read may wait. A waiting read may get no answer while changes are made: the
/// next read must return them within the bound, after a second of silence and the timeout of the unanswered
/// read.
constexpr double WaitFraction = 0.3;

/// A reader makes at most this many reads within the bound.
constexpr int MaximumReadsPerBound = 30;

/// The delay between the takeovers of successive instances in the reader order.
constexpr Duration TakeoverStagger = milliseconds(150);

/// Instances after this position in the order wait no longer than the one at it.
constexpr std::size_t LastStaggeredRank = 6;

/// A first start is not urgent: instances that are not seeds wait for the data that the seeds read.
constexpr Duration FirstStartDelay = milliseconds(60);
constexpr Duration FirstStartJitter = milliseconds(120);

/// The delay before a retry doubles from the first value to the last.
constexpr Duration FirstRetryDelay = milliseconds(150);
constexpr Duration LongestRetryDelay = milliseconds(1000);

/// The number of instances of a data centre that retry in each interval while the store fails all of them.
constexpr std::size_t RetryingInstancesPerDataCentre = 3;

/// The share of the fleet's budget that retries may take.
constexpr double RetryBudgetShare = 0.25;

/// A failure is disregarded after this time, so that the instance may become the reader again.
constexpr Duration FailureExpiry = std::chrono::seconds(10);

ReaderTiming readerTiming(Duration settingsBound)
{
    ReaderTiming timing;
    const auto share = std::chrono::duration_cast<Duration>(settingsBound * WaitFraction);
    timing.wait = std::clamp<Duration>(share, ShortestWait, LongestWait);
    timing.minimumInterval = settingsBound / MaximumReadsPerBound;
    timing.timeout = AnswerTimeout;
    timing.takeover = timing.wait + timing.wait / 4;
    timing.currency = timing.wait + timing.wait / 2;
    timing.stagger = TakeoverStagger;
    timing.startDelay = FirstStartDelay;
    return timing;
}

static Duration randomDuration(std::mt19937_64 &random, Duration most)
{
    std::uniform_int_distribution<Duration::rep> distribution(0, most.count());
    return Duration(distribution(random));
}

ReaderPlan::ReaderPlan(
    ReaderTiming timing, bool mayStartAtOnce, double readsPerSecond, TimePoint now, std::uint64_t seed)
    : m_timing(timing)
    , m_readsPerSecond(readsPerSecond)
    , m_random(seed)
    , m_firstReadAt(now)
{
    if (!mayStartAtOnce) {
        m_firstReadAt = now + m_timing.startDelay + randomDuration(m_random, FirstStartJitter);
    }
    m_jitter = randomDuration(m_random, m_timing.stagger / 2);
}

bool ReaderPlan::wantsRead(const ReaderView &view, TimePoint now) const
{
    if (now < m_retryAt) {
        return false;
    }
    if (!view.isLoaded) {
        return now >= m_firstReadAt;
    }
    if (view.rank == 0) {
        return true;
    }
    const bool isOnlyReader = m_isReading && now - view.otherReaderAt > m_timing.takeover;
    const std::size_t rank = std::min(view.rank, LastStaggeredRank);
    const Duration takeoverAge = m_timing.takeover + rank * m_timing.stagger + m_jitter;
    return isOnlyReader || now - view.currentAt > takeoverAge;
}

void ReaderPlan::noteSuccess(TimePoint now)
{
    m_isReading = true;
    m_failures = 0;
    m_failedAt = TimePoint{};
    m_retryAt = now;
}

void ReaderPlan::noteFailure(const ReaderView &view, TimePoint now)
{
    const bool wasReading = std::exchange(m_isReading, false);
    m_failedAt = now;
    if (wasReading) {
        // Only this connection may have gone silent, so one retry follows at once.
        m_retryAt = now;
        return;
    }
    const Duration bound
        = std::min<Duration>(FirstRetryDelay * (1U << std::min(m_failures, 8U)), LongestRetryDelay);
    ++m_failures;
    const double share = static_cast<double>(view.fleet) / (RetryBudgetShare * m_readsPerSecond);
    const auto budgetDelay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(share));
    const std::size_t instancesPerRetryer
        = view.rank < RetryingInstancesPerDataCentre ? 1 : view.members / RetryingInstancesPerDataCentre;
    const Duration shortest
        = std::max<Duration>(budgetDelay, bound / 2) * std::max<std::size_t>(instancesPerRetryer, 1);
    m_retryAt = now + shortest + randomDuration(m_random, shortest);
}

bool ReaderPlan::isFailing(TimePoint now) const
{
    return m_failedAt != TimePoint{} && now - m_failedAt < FailureExpiry;
}

} // namespace jasminequay
