// When an instance reads the store: one instance of a data centre for all of it, another one when that fails.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <random>

namespace jasminequay
{

/// The times of reading. All follow from how soon a change must be in force everywhere.
struct ReaderTiming {
    /// How long a waiting read waits: so short that a silent one leaves time for another inside the bound.
    Duration wait;
    /// The shortest time between two reads, so that changes in quick succession come together.
    Duration pace;
    /// How long an answer may take beyond that.
    Duration timeout;
    /// How old the word of the reader may become before another instance reads.
    Duration takeover;
    /// How much later each next one in the order does.
    Duration stagger;
    /// How long the first reading of a fleet that starts for the first time waits for peers; seeds do not
    /// wait.
    Duration startDelay;
};

/// Returns the times for a bound.
ReaderTiming readerTiming(Duration settingsBound);

/// What a plan is told each time.
struct ReaderView {
    std::size_t rank = 0; ///< Place of the instance in the order of readers of its data centre.
    std::size_t members = 1; ///< The instances of its data centre, this one included.
    std::size_t fleet = 1; ///< The instances of all data centres.
    bool isLoaded = false;
    TimePoint currentAt; ///< Until when its routes and targets are proved to be complete.
    TimePoint otherReaderAt; ///< When another reader of its data centre was last heard.
};

/// Decides when to read. Every instance computes the same order from its members, so that no election is
/// needed: two readers at once are harmless, and a gap ends when the next in the order finds its knowledge
/// old.
class ReaderPlan
{
public:
    /// `mayStartAtOnce` is for restarts, and for seeds, from which the others learn. `readsPerSecond` is the
    /// fleet's budget.
    ReaderPlan(
        ReaderTiming timing, bool mayStartAtOnce, double readsPerSecond, TimePoint now, std::uint64_t seed);

    /// Tells whether to read now.
    [[nodiscard]] bool wantsRead(const ReaderView &view, TimePoint now) const;

    /// Notes that the store answered.
    void noteSuccess(TimePoint now);

    /// Notes that the store did not answer, or turned the call away.
    void noteFailure(const ReaderView &view, TimePoint now);

    /// Takes other times.
    void adopt(const ReaderTiming &timing)
    {
        m_timing = timing;
    }

    /// Notes that another instance reads in its place.
    void yield()
    {
        m_isReading = false;
    }

    /// Tells whether the last read succeeded and the instance goes on.
    [[nodiscard]] bool isReading() const
    {
        return m_isReading;
    }

    /// Tells whether the store failed this instance lately.
    [[nodiscard]] bool isFailing(TimePoint now) const;

    [[nodiscard]] const ReaderTiming &timing() const
    {
        return m_timing;
    }

private:
    ReaderTiming m_timing;
    double m_readsPerSecond;
    std::mt19937_64 m_random;
    TimePoint m_startAt;
    TimePoint m_retryAt;
    TimePoint m_failedAt;
    Duration m_jitter{};
    unsigned m_failures = 0; ///< In a row.
    bool m_isReading = false;
};

} // namespace jasminequay
