// The sweep through the table: expiry, interim records, replication, handover and sharing.
#include "jasminequay/Flow/flowengine.h"

#include <algorithm>

namespace jasminequay
{

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
    m_pass.handoversLeft = 0;
    if (m_pass.version != m_sweptVersion) {
        m_sharedBindings = 0;
    }
}

void FlowEngine::endPass()
{
    m_waitingHandovers = m_pass.handoversLeft;
    // A snapshot that came in between may have changed what the first part of the pass should have done.
    if (!m_needsRecheck) {
        m_sweptVersion = m_pass.version;
    }
}

/// Returns after how many passes something is due that recurs in this interval.
static std::uint64_t passesIn(Duration interval)
{
    return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(interval / PassInterval));
}

void FlowEngine::sweepEntry(FlowEntry &entry, TimePoint now)
{
    const ServiceTable *const service = m_routing.catalogue->service(entry.key.service());
    if (service == nullptr) {
        forget(entry, EndCause::TargetRemoved);
        return;
    }
    if (const std::optional<EndCause> cause = expiryOf(entry, *service, tickAt(now))) {
        forget(entry, *cause);
        return;
    }
    const FlowContext flow = contextOf(*service, entry.key.caller());
    if (isVoid(entry, flow)) {
        // Kept where the flow may not reach a second target, until it has been silent for its idle timeout.
        if (service->policy.repeatable) {
            forget(entry, EndCause::TargetRemoved);
        } else if (m_pass.isRecheck && entry.isLive()) {
            shareUnrepeatable(entry, flow);
        }
        return;
    }
    if (m_pass.number % passesIn(service->policy.recordInterval) == 0) {
        writeRecord(entry, EndCause::Interim);
    }
    if (entry.isLive()) {
        recheckOwnership(entry, flow, now);
    }
}

std::optional<EndCause> FlowEngine::expiryOf(
    const FlowEntry &entry, const ServiceTable &service, Tick now) const
{
    const Tick silent = now - entry.lastSeen;
    if (entry.state == FlowState::Closed) {
        return silent > ticks(m_limits.closedLinger) ? std::optional(EndCause::Finished) : std::nullopt;
    }
    // A request that may not run twice may be running for as long as its caller waits.
    if (entry.state == FlowState::Opening && service.policy.repeatable) {
        return silent > ticks(service.policy.handshakeTimeout) ? std::optional(EndCause::NoAnswer)
                                                               : std::nullopt;
    }
    const Duration patience = service.policy.idleTimeout * (entry.has(FlowMark::Backup) ? 2 : 1);
    return silent > ticks(patience) ? std::optional(EndCause::Idle) : std::nullopt;
}

void FlowEngine::recheckOwnership(FlowEntry &entry, const FlowContext &flow, TimePoint now)
{
    if (m_pass.isRecheck && !flow.service->policy.repeatable) {
        shareUnrepeatable(entry, flow);
    }
    if (flow.owner != m_self) {
        if (entry.has(FlowMark::Owned)) {
            handOver(entry, flow, now);
        }
        return;
    }
    own(entry, flow);
    // The backup keeps a replica for two idle timeouts, and another instance may have become the backup.
    if (m_pass.isRecheck || m_pass.number % passesIn(flow.service->policy.idleTimeout) == 0) {
        entry.clear(FlowMark::Replicated);
        markException(entry, flow);
    }
    const bool isLasting = tickAt(now) - entry.since > ticks(flow.service->policy.replicateAfter);
    if (entry.has(FlowMark::Exceptional) && !entry.has(FlowMark::Replicated) && isLasting) {
        replicate(entry, flow, now);
    }
}

/// Tells every peer of a flow that may not run twice and that the present table would place elsewhere. Peers
/// place by the new table only after they have these.
void FlowEngine::shareUnrepeatable(const FlowEntry &entry, const FlowContext &flow)
{
    const bool isSettled = flow.service->previous == nullptr;
    const TargetEntry *const choice = flow.service->preferredTarget(flow.hash);
    if (isSettled || (choice != nullptr && choice->id == entry.target)) {
        return;
    }
    sendBinding(InstanceId{}, BindingKind::Shared, entry, flow);
    ++m_sharedBindings;
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
