// The load of one target: the owner's exact flow count and the target's own report.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <atomic>
#include <cstdint>

namespace jasminequay
{

/// The load of one target, shared by the traffic threads of an instance and kept across settings versions.
class TargetLoad
{
public:
    /// Counts a new flow.
    void addFlow();

    /// Counts the end of a flow.
    void removeFlow();

    /// Returns the number of flows that this instance owns at the target and that have not ended.
    [[nodiscard]] std::uint32_t outstanding() const;

    /// Stores a load report from the target.
    void report(std::uint32_t outstanding, bool isShedding, TimePoint now);

    /// Returns the flow count used for placement: the exact count, raised by a higher report up to a bound. A
    /// report below the exact count is ignored, and the weight of a report decreases with its age.
    [[nodiscard]] double effectiveCount(std::uint32_t slots, TimePoint now) const;

    /// Tells whether a report that has not expired says that the target sheds load.
    [[nodiscard]] bool isShedding(TimePoint now) const;

private:
    [[nodiscard]] double freshness(TimePoint now) const;

    std::atomic<std::uint32_t> m_outstanding{0};
    std::atomic<std::uint32_t> m_reported{0};
    std::atomic<bool> m_isShedding{false};
    std::atomic<Duration::rep> m_reportedAt{0};
};

} // namespace jasminequay
