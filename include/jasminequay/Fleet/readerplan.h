// Decides when an instance reads the store: one instance reads for its whole data centre, and another takes
// over when it fails.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <random>

namespace jasminequay
{

/// The intervals and timeouts of reads. All follow from the time within which a change must be in force at
/// every instance.
struct ReaderTiming {
    /// How long a read waits at the store for a change. Short enough that, if the read gets no answer,
    /// another one fits into the bound.
    Duration wait;
    /// The shortest time between two reads, so that changes in quick succession are read together.
    Duration minimumInterval;
    /// How long an answer may take beyond `wait`.
    Duration timeout;
    /// How old the reader's latest information may become before another instance reads.
    Duration takeover;
    /// How old information may become and still count as current. A reader's answers arrive more often.
    Duration currency;
    /// How much later each subsequent instance in the reader order takes over.
    Duration stagger;
    /// How long an instance waits for its peers before the first read, when the whole fleet starts for the
    /// first time; seeds do not wait.
    Duration startDelay;
};

/// Returns the timing for a settings bound.
ReaderTiming readerTiming(Duration settingsBound);

/// The state of the fleet as a ReaderPlan needs it.
struct ReaderView {
    std::size_t rank = 0; ///< The position of the instance in the reader order of its data centre.
    std::size_t members = 1; ///< Number of instances in its data centre, this one included.
    std::size_t fleet = 1; ///< Number of instances in all data centres.
    bool isLoaded = false;
    TimePoint currentAt; ///< The time as of which its routes and targets are known to be complete.
    TimePoint otherReaderAt; ///< When a preferred reader of its data centre was last heard of.
};

/// Decides when to read. Every instance computes the same reader order from its member table, so that no
/// election is needed: two readers at once are harmless, and a period without a reader ends when the next
/// instance in the order finds its information too old.
class ReaderPlan
{
public:
    /// `mayStartAtOnce` is set for restarts, and for seeds, from which the other instances get their first
    /// data. `readsPerSecond` is the fleet's budget.
    ReaderPlan(
        ReaderTiming timing, bool mayStartAtOnce, double readsPerSecond, TimePoint now, std::uint64_t seed);

    /// Tells whether to read now.
    [[nodiscard]] bool wantsRead(const ReaderView &view, TimePoint now) const;

    /// Records that the store answered.
    void noteSuccess(TimePoint now);

    /// Records that the store did not answer or refused the call.
    void noteFailure(const ReaderView &view, TimePoint now);

    /// Replaces the timing.
    void setTiming(const ReaderTiming &timing)
    {
        m_timing = timing;
    }

    /// Records that another instance reads instead of this one.
    void stopReading()
    {
        m_isReading = false;
    }

    /// Tells whether the last read succeeded and the instance continues to read.
    [[nodiscard]] bool isReading() const
    {
        return m_isReading;
    }

    /// Tells whether a read by this instance failed recently.
    [[nodiscard]] bool isFailing(TimePoint now) const;

    [[nodiscard]] const ReaderTiming &timing() const
    {
        return m_timing;
    }

private:
    ReaderTiming m_timing;
    double m_readsPerSecond;
    std::mt19937_64 m_random;
    TimePoint m_firstReadAt;
    TimePoint m_retryAt;
    TimePoint m_failedAt;
    Duration m_jitter{};
    unsigned m_failures = 0; ///< Consecutive failures.
    bool m_isReading = false;
};

} // namespace jasminequay
