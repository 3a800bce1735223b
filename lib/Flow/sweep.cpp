// The sweep through the table: expiry, interim records, replication, handover and sharing.
#include "jasminequay/Flow/flowengine.h"

#include <algorithm>

namespace jasminequay
{

/// The minimum time between the starts of two sweep passes, unless the routing snapshot has changed.
constexpr Duration PassInterval = std::chrono::milliseconds(500);

void FlowEngine::sweep(std::size_t slots, TimePoint now)
{
    for (const FlowKey key : m_queries.expired(now)) {
        expireQuery(key, now);
    }
    if (m_pass.position == 0) {
        const bool isDue = m_needsRecheck || now - m_pass.startedAt >= PassInterval;
        if (!isDue) {
            return;
        }
        beginPass(now);
    }
    for (std::size_t swept = 0; swept < slots && m_pass.position > 0; ++swept) {
        FlowEntry &entry = m_table.slots()[--m_pass.position];
        if (entry.state != FlowState::Empty) {
            sweepEntry(entry, now);
        }
    }
    if (m_pass.position == 0) {
        endPass();
    }
}

void FlowEngine::beginPass(TimePoint now)
{
    m_pass.position = m_table.slots().size();
    m_pass.startedAt = now;
    ++m_pass.number;
    m_pass.version = m_routing.catalogue->version();
    m_pass.isRecheck = std::exchange(m_needsRecheck, false);
    m_pass.deferredHandovers = 0;
}

void FlowEngine::endPass()
{
    m_waitingHandovers = m_pass.deferredHandovers;
    // If a new snapshot arrived during the pass, the entries checked before it must be checked again.
    if (!m_needsRecheck) {
        m_sweptVersion = m_pass.version;
    }
}

/// Returns the number of sweep passes in an interval, at least one.
static std::uint64_t passesPerInterval(Duration interval)
{
    return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(interval / PassInterval));
}

void FlowEngine::sweepEntry(FlowEntry &entry, TimePoint now)
{
    const ServiceTable *const service = m_routing.catalogue->service(entry.key.service());
    if (service == nullptr) {
        removeEntry(entry, EndCause::TargetRemoved);
        return;
    }
    if (const std::optional<EndCause> cause = expiryOf(entry, *service, tickAt(now))) {
        removeEntry(entry, *cause);
        return;
    }
    const FlowContext flow = contextOf(*service, entry.key.caller());
    if (hasInvalidTarget(entry, flow)) {
        // The entry of a non-repeatable flow is kept until its idle timeout, so that the flow gets no second
        // target.
        if (service->policy.repeatable) {
            removeEntry(entry, EndCause::TargetRemoved);
        } else if (m_pass.isRecheck && entry.isLive()) {
            shareNonRepeatable(entry, flow);
        }
        return;
    }
    if (m_pass.number % passesPerInterval(service->policy.recordInterval) == 0) {
        writeRecord(entry, EndCause::Interim);
    }
    if (entry.isLive()) {
        recheckOwnership(entry, flow, now);
    }
}

std::optional<EndCause> FlowEngine::expiryOf(
    const FlowEntry &entry, const ServiceTable &service, Tick now) const
{
    const Tick silentTicks = now - entry.lastSeen;
    if (entry.state == FlowState::Closed) {
        return silentTicks > ticks(m_limits.closedLinger) ? std::optional(EndCause::Finished) : std::nullopt;
    }
    // A non-repeatable request may run for as long as its caller waits, so its flow expires only when idle.
    if (entry.state == FlowState::Opening && service.policy.repeatable) {
        return silentTicks > ticks(service.policy.handshakeTimeout) ? std::optional(EndCause::NoAnswer)
                                                                    : std::nullopt;
    }
    const Duration idleLimit = service.policy.idleTimeout * (entry.has(FlowMark::Backup) ? 2 : 1);
    return silentTicks > ticks(idleLimit) ? std::optional(EndCause::Idle) : std::nullopt;
}

void FlowEngine::recheckOwnership(FlowEntry &entry, const FlowContext &flow, TimePoint now)
{
    if (m_pass.isRecheck && !flow.service->policy.repeatable) {
        shareNonRepeatable(entry, flow);
    }
    if (flow.owner != m_self) {
        if (entry.has(FlowMark::Owned)) {
            handOver(entry, flow, now);
        }
        return;
    }
    takeOwnership(entry, flow);
    // Replicas are sent again because the backup keeps one for two idle timeouts only, and because another
    // instance may have become the backup.
    if (m_pass.isRecheck || m_pass.number % passesPerInterval(flow.service->policy.idleTimeout) == 0) {
        entry.clear(FlowMark::Replicated);
        markException(entry, flow);
    }
    const bool isLasting = tickAt(now) - entry.confirmedAt > ticks(flow.service->policy.replicateAfter);
    if (entry.has(FlowMark::Exceptional) && !entry.has(FlowMark::Replicated) && isLasting) {
        replicate(entry, flow, now);
    }
}

/// Sends every peer the binding of a non-repeatable flow that the current table would place at another
/// target. Peers place flows by the new table only after they have received these bindings.
void FlowEngine::shareNonRepeatable(const FlowEntry &entry, const FlowContext &flow)
{
    const bool isSettled = flow.service->previous == nullptr;
    const TargetEntry *const choice = flow.service->preferredTarget(flow.hash);
    if (isSettled || (choice != nullptr && choice->id == entry.target)) {
        return;
    }
    sendBinding(InstanceId{}, BindingKind::Shared, entry, flow);
}

void FlowEngine::flushRecords()
{
    for (FlowEntry &entry : m_table.slots()) {
        if (entry.state != FlowState::Empty) {
            writeRecord(entry, EndCause::Interim);
        }
    }
}

} // namespace jasminequay
