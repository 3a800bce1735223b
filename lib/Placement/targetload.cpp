#include "jasminequay/Placement/targetload.h"

#include <algorithm>

namespace jasminequay
{

/// The age at which a load report expires; its weight decreases linearly until then.
constexpr Duration ReportLifetime = std::chrono::seconds(5);

void TargetLoad::addFlow()
{
    m_outstanding.fetch_add(1, std::memory_order_relaxed);
}

void TargetLoad::removeFlow()
{
    m_outstanding.fetch_sub(1, std::memory_order_relaxed);
}

std::uint32_t TargetLoad::outstanding() const
{
    return m_outstanding.load(std::memory_order_relaxed);
}

void TargetLoad::report(std::uint32_t outstanding, bool isShedding, TimePoint now)
{
    m_reported.store(outstanding, std::memory_order_relaxed);
    m_isShedding.store(isShedding, std::memory_order_relaxed);
    m_reportedAt.store(now.time_since_epoch().count(), std::memory_order_relaxed);
}

double TargetLoad::freshness(TimePoint now) const
{
    const Duration::rep reportedAt = m_reportedAt.load(std::memory_order_relaxed);
    if (reportedAt == 0) {
        return 0;
    }
    const double age = static_cast<double>(now.time_since_epoch().count() - reportedAt);
    return std::clamp(1 - age / static_cast<double>(ReportLifetime.count()), 0.0, 1.0);
}

double TargetLoad::effectiveCount(std::uint32_t slots, TimePoint now) const
{
    const double counted = outstanding();
    const double excess = static_cast<double>(m_reported.load(std::memory_order_relaxed)) - counted;
    if (excess <= 0) {
        return counted;
    }
    const double bound = slots + counted / 2;
    return counted + std::min(excess, bound) * freshness(now);
}

bool TargetLoad::isShedding(TimePoint now) const
{
    return m_isShedding.load(std::memory_order_relaxed) && freshness(now) > 0;
}

} // namespace jasminequay
