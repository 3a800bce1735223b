#include "jasminequay/Fleet/readerplan.h"

#include <algorithm>
#include <utility>

namespace jasminequay
{

using std::chrono::milliseconds;

constexpr Duration ShortestWait = milliseconds(500);
constexpr Duration LongestWait = std::chrono::seconds(5);

/// A hundred times the few milliseconds of a usual answer, and still short beside every bound.
constexpr Duration AnswerTimeout = milliseconds(400);

/// A waiting read may go silent while changes are made: what it hides must come with the next one inside the
/// bound, after a second of silence and the timeout of the silent read.
constexpr double WaitShare = 0.3;

/// A reader makes at most this many reads while a change may take force.
constexpr int ReadsInABound = 30;

constexpr Duration TakeoverStagger = milliseconds(150);

/// Later places in the order do not wait longer than this one.
constexpr std::size_t LastStaggeredRank = 6;

/// In a first start there is no hurry: instances that are no seeds wait for what the seeds read.
constexpr Duration FirstStartDelay = milliseconds(60);
constexpr Duration FirstStartJitter = milliseconds(120);

constexpr Duration FirstRetry = milliseconds(150);
constexpr Duration LastRetry = milliseconds(1000);

/// Of a data centre's instances this many try again in each interval while the store fails all of them.
constexpr std::size_t RetryersInADataCentre = 3;

/// The share of the fleet's budget that retries may take.
constexpr double RetryBudgetShare = 0.25;

/// A failure is forgotten after this time, so that the instance may become the reader again.
constexpr Duration FailureMemory = std::chrono::seconds(10);

ReaderTiming readerTiming(Duration settingsBound)
{
    ReaderTiming timing;
    const auto share = std::chrono::duration_cast<Duration>(settingsBound * WaitShare);
    timing.wait = std::clamp<Duration>(share, ShortestWait, LongestWait);
    timing.pace = settingsBound / ReadsInABound;
    timing.timeout = AnswerTimeout;
    timing.takeover = timing.wait + timing.wait / 4;
    timing.stagger = TakeoverStagger;
    timing.startDelay = FirstStartDelay;
    return timing;
}

static Duration drawn(std::mt19937_64 &random, Duration most)
{
    std::uniform_int_distribution<Duration::rep> distribution(0, most.count());
    return Duration(distribution(random));
}

ReaderPlan::ReaderPlan(
    ReaderTiming timing, bool mayStartAtOnce, double readsPerSecond, TimePoint now, std::uint64_t seed)
    : m_timing(timing)
    , m_readsPerSecond(readsPerSecond)
    , m_random(seed)
    , m_startAt(now)
{
    if (!mayStartAtOnce) {
        m_startAt = now + m_timing.startDelay + drawn(m_random, FirstStartJitter);
    }
    m_jitter = drawn(m_random, m_timing.stagger / 2);
}

bool ReaderPlan::wantsRead(const ReaderView &view, TimePoint now) const
{
    if (now < m_retryAt) {
        return false;
    }
    if (!view.isLoaded) {
        return now >= m_startAt;
    }
    if (view.rank == 0) {
        return true;
    }
    const bool isOnlyReader = m_isReading && now - view.otherReaderAt > m_timing.takeover;
    const std::size_t rank = std::min(view.rank, LastStaggeredRank);
    const Duration patience = m_timing.takeover + rank * m_timing.stagger + m_jitter;
    return isOnlyReader || now - view.currentAt > patience;
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
        // One connection may have gone silent while the store is well.
        m_retryAt = now;
        return;
    }
    const Duration bound = std::min<Duration>(FirstRetry * (1U << std::min(m_failures, 8U)), LastRetry);
    ++m_failures;
    const double share = static_cast<double>(view.fleet) / (RetryBudgetShare * m_readsPerSecond);
    const auto budgeted = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(share));
    const std::size_t crowd = view.rank < RetryersInADataCentre ? 1 : view.members / RetryersInADataCentre;
    const Duration least = std::max<Duration>(budgeted, bound / 2) * std::max<std::size_t>(crowd, 1);
    m_retryAt = now + least + drawn(m_random, least);
}

bool ReaderPlan::isFailing(TimePoint now) const
{
    return m_failedAt != TimePoint{} && now - m_failedAt < FailureMemory;
}

} // namespace jasminequay
