#include "jasminequay/Steering/serviceload.h"

#include <algorithm>
#include <cmath>

namespace jasminequay
{

bool ServiceLoad::noteAnswer(double objectiveShare, TimePoint now)
{
    if (m_interval.count == 0) {
        m_intervalStart = now;
    }
    m_interval.sum += objectiveShare;
    m_interval.sumOfSquares += objectiveShare * objectiveShare;
    ++m_interval.count;
    return now - m_intervalStart >= m_limits.interval && m_interval.count >= m_limits.leastAnswers;
}

void ServiceLoad::endInterval(std::uint32_t underWay, double slots, TimePoint now)
{
    if (now - m_endedAt > m_limits.memory) {
        m_lateIntervals = 0;
        m_limit = std::numeric_limits<double>::infinity();
    }
    m_share = m_interval.sum > 0 ? m_interval.sumOfSquares / m_interval.sum : 0;
    m_interval = {};
    m_endedAt = now;
    m_lateIntervals = m_share >= m_limits.lateShare ? m_lateIntervals + 1 : 0;
    const double gradient = m_limits.wantedShare / std::max(m_share, m_limits.wantedShare / 2);
    if (std::isinf(m_limit)) {
        if (m_lateIntervals >= m_limits.lateIntervals) {
            m_limit = std::max(slots, underWay * gradient);
        }
        return;
    }
    m_limit = std::max(slots, m_limit * std::clamp(gradient, m_limits.largestFall, m_limits.largestRise));
    if (m_limit > m_limits.restingRoom * underWay + slots) {
        m_limit = std::numeric_limits<double>::infinity();
    }
}

bool ServiceLoad::isOverloaded(TimePoint now) const
{
    return m_limits.isEnabled && !std::isinf(m_limit) && now - m_endedAt <= m_limits.memory;
}

bool ServiceLoad::admits(std::uint32_t underWay, std::uint32_t levelsAbove, TimePoint now) const
{
    return !isOverloaded(now) || underWay < m_limit * (1 + m_limits.priorityRoom * levelsAbove);
}

double ServiceLoad::objectiveShare(TimePoint now) const
{
    return now - m_endedAt <= m_limits.memory ? m_share : 0;
}

} // namespace jasminequay
