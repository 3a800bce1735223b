#include "jasminequay/Flow/flowengine.h"

namespace jasminequay
{

/// The number of queries that may be sent in one burst.
constexpr double QueryBurst = 4096;
constexpr std::int64_t TicksPerSecond = 256;

FlowEngine::FlowEngine(InstanceId self, const EngineLimits &limits, TimePoint start)
    : m_self(self)
    , m_limits(limits)
    , m_start(start)
    , m_leaseUntil(start)
    , m_table(limits.flows)
    , m_queryBudget(limits.queriesPerSecond, QueryBurst, start)
    , m_replicaBudget(limits.replicaBytesPerSecond, limits.replicaBytesPerSecond, start)
    , m_handoverBudget(limits.handoverBytesPerSecond, limits.handoverBytesPerSecond, start)
{
}

void FlowEngine::applySnapshot(const RoutingSnapshot &snapshot)
{
    retainRemoved(*m_routing.catalogue, *snapshot.catalogue);
    m_routing = snapshot;
    m_needsRecheck = true;
}

void FlowEngine::extendLease(TimePoint until)
{
    m_leaseUntil = until;
}

Tick FlowEngine::tickAt(TimePoint now) const
{
    return ticks(now - m_start);
}

Tick FlowEngine::ticks(Duration duration)
{
    constexpr std::int64_t NanosecondsPerTick = 1'000'000'000 / TicksPerSecond;
    return static_cast<Tick>(duration.count() / NanosecondsPerTick);
}

} // namespace jasminequay
