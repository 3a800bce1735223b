#include "jasminequay/Steering/serviceload.h"

#include <algorithm>
#include <cmath>

namespace jasminequay
{

bool ServiceLoad::recordResponse(double objectiveShare, TimePoint now)
{
    if (m_interval.count == 0) {
        m_intervalStart = now;
    }
    m_interval.sum += objectiveShare;
    m_interval.sumOfSquares += objectiveShare * objectiveShare;
    ++m_interval.count;
    return now - m_intervalStart >= m_limits.interval && m_interval.count >= m_limits.minimumResponses;
}

void ServiceLoad::endInterval(std::uint32_t inFlight, double slots, TimePoint now)
{
    if (now - m_intervalEndedAt > m_limits.expiry) {
        m_lateIntervals = 0;
        m_limit = std::numeric_limits<double>::infinity();
    }
    m_share = m_interval.sum > 0 ? m_interval.sumOfSquares / m_interval.sum : 0;
    m_interval = {};
    m_intervalEndedAt = now;
    m_lateIntervals = m_share >= m_limits.lateShare ? m_lateIntervals + 1 : 0;
    const double gradient = m_limits.desiredShare / std::max(m_share, m_limits.desiredShare / 2);
    if (std::isinf(m_limit)) {
        if (m_lateIntervals >= m_limits.lateIntervals) {
            m_limit = std::max(slots, inFlight * gradient);
        }
        return;
    }
    m_limit = std::max(slots, m_limit * std::clamp(gradient, m_limits.minimumFactor, m_limits.maximumFactor));
    if (m_limit > m_limits.liftFactor * inFlight + slots) {
        m_limit = std::numeric_limits<double>::infinity();
    }
}

bool ServiceLoad::isOverloaded(TimePoint now) const
{
    return m_limits.isEnabled && !std::isinf(m_limit) && now - m_intervalEndedAt <= m_limits.expiry;
}

bool ServiceLoad::admits(std::uint32_t inFlight, std::uint32_t levelsAboveLowest, TimePoint now) const
{
    return !isOverloaded(now) || inFlight < m_limit * (1 + m_limits.priorityHeadroom * levelsAboveLowest);
}

double ServiceLoad::objectiveShare(TimePoint now) const
{
    return now - m_intervalEndedAt <= m_limits.expiry ? m_share : 0;
}

} // namespace jasminequay
