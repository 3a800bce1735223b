// What is known of the load of one target: the owner's exact count and the target's own report.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <atomic>
#include <cstdint>

namespace jasminequay
{

/// The load of one target, shared by the traffic threads of an instance. It outlives versions of the
/// settings.
class TargetLoad
{
public:
    /// Counts a new flow.
    void addFlow();

    /// Counts the end of a flow.
    void removeFlow();

    /// Returns the flows that this instance placed at the target and that have not ended.
    [[nodiscard]] std::uint32_t outstanding() const;

    /// Takes the target's own report.
    void report(std::uint32_t outstanding, bool isShedding, TimePoint now);

    /// Returns the count to place by: the exact count, raised by a fresh report within a bound. A report
    /// below the exact count is not believed, and a report loses its weight with age.
    [[nodiscard]] double effective(std::uint32_t slots, TimePoint now) const;

    /// Tells whether a fresh report says that the target sheds load.
    [[nodiscard]] bool isShedding(TimePoint now) const;

private:
    [[nodiscard]] double freshness(TimePoint now) const;

    std::atomic<std::uint32_t> m_outstanding{0};
    std::atomic<std::uint32_t> m_reported{0};
    std::atomic<bool> m_isShedding{false};
    std::atomic<Duration::rep> m_reportedAt{0};
};

} // namespace jasminequay
