// Decisions about packets that come from the callers' side.
#include "jasminequay/Flow/flowengine.h"
#include "jasminequay/Placement/selection.h"

namespace jasminequay
{

/// How often a packet may be forwarded between instances; stops loops between instances that disagree about
/// the owner.
constexpr std::uint8_t MaximumHops = 2;

/// While the owner does not confirm a stale binding, one packet per interval is sent through the owner.
constexpr Duration OwnerRetryInterval = std::chrono::seconds(2);

Decision FlowEngine::onCallerPacket(
    const PacketView &packet, InstanceId origin, std::uint8_t hops, TimePoint now)
{
    if (now > m_leaseUntil) {
        return Decision::drop(DropCause::Fenced);
    }
    // An ICMP error from a caller quotes a packet of a target's answer, whose source is the service.
    const bool isError = packet.isIcmpError();
    const Endpoint caller = isError ? packet.destination : packet.source;
    const Endpoint address = isError ? packet.source : packet.destination;
    const ServiceTable *const service = m_routing.catalogue->serviceAt(address, packet.protocol);
    if (service == nullptr) {
        return Decision::drop(isError ? DropCause::ForeignQuote : DropCause::UnknownService);
    }
    if (service->isQuarantined) {
        return Decision::drop(DropCause::Quarantined);
    }
    const FlowContext flow = contextOf(*service, caller);
    const bool isRelayedByOwner = origin != InstanceId{} && origin == flow.owner;
    if (!isError && (flow.owner == m_self || isRelayedByOwner)) {
        return decideAsOwner(packet, flow, origin, now);
    }
    FlowEntry *const entry = m_table.find(flow.key);
    if (entry != nullptr && !isExpiredCacheEntry(*entry, *service, now)) {
        const Duration lease = cacheLease(*service);
        const bool isStale = tickAt(now) - entry->confirmedAt > ticks(lease);
        const bool needsOwner = !isError && (packet.flags.opens() || packet.flags.closes() || isStale);
        if (needsOwner && isStale) {
            entry->confirmedAt = tickAt(now - lease + std::min(OwnerRetryInterval, lease));
        }
        if (const std::optional<Decision> decision
            = needsOwner ? std::nullopt : useBinding(*entry, packet, flow, now)) {
            return *decision;
        }
    }
    if (isError && flow.owner == m_self) {
        return Decision::drop(DropCause::ForeignQuote);
    }
    return relay(flow, hops);
}

Decision FlowEngine::relay(const FlowContext &flow, std::uint8_t hops)
{
    if (flow.owner == InstanceId{}) {
        return Decision::drop(DropCause::AwaitingBinding);
    }
    if (hops >= MaximumHops) {
        return Decision::drop(DropCause::TooManyHops);
    }
    ++m_counters.relayed;
    return Decision::toPeer(flow.owner);
}

bool FlowEngine::hasInvalidTarget(const FlowEntry &entry, const FlowContext &flow) const
{
    const TargetPlace place = m_routing.catalogue->target(entry.target);
    return place.service != flow.service || place.target->isQuarantined;
}

std::optional<Decision> FlowEngine::useBinding(
    FlowEntry &entry, const PacketView &packet, const FlowContext &flow, TimePoint now)
{
    if (hasInvalidTarget(entry, flow)) {
        return std::nullopt;
    }
    const Endpoint target = m_routing.catalogue->target(entry.target).target->settings.address;
    countPacket(entry, packet, true, now);
    applyTcpFlags(entry, packet.flags, true);
    return Decision::toTarget(target);
}

Decision FlowEngine::decideAsOwner(
    const PacketView &packet, const FlowContext &flow, InstanceId origin, TimePoint now)
{
    FlowEntry *entry = m_table.find(flow.key);
    if (entry != nullptr && hasInvalidTarget(*entry, flow)) {
        // A flow that may have reached a target is not moved to a second one, unless the service is
        // repeatable.
        const bool mayMove = packet.mayOpenFlow() && (flow.service->policy.repeatable || !entry->isLive());
        if (!mayMove) {
            entry->lastSeen = tickAt(now);
            return Decision::drop(DropCause::NoTarget);
        }
        removeEntry(*entry, EndCause::TargetRemoved);
        entry = nullptr;
    }
    if (entry != nullptr && entry->state == FlowState::Closed && packet.flags.opens()) {
        const TargetId earlier = entry->target;
        removeEntry(*entry, EndCause::Finished);
        const Decision decision = recordIfRefused(placeNewFlow(packet, flow, now), flow);
        entry = m_table.find(flow.key);
        // Other instances may still cache the binding of the previous flow with this key.
        if (entry != nullptr && entry->target != earlier) {
            broadcastBinding(BindingKind::OwnerReply, *entry, flow);
        }
        return decision;
    }
    if (entry == nullptr) {
        return decideUnknown(packet, flow, origin, now);
    }
    if (flow.owner == m_self && entry->isLive()) {
        takeOwnership(*entry, flow);
    }
    Decision decision = *useBinding(*entry, packet, flow, now);
    decision.notifiesOrigin = origin != InstanceId{};
    decision.isEstablished = entry->state == FlowState::Established;
    return decision;
}

/// Tells whether another owner, which has failed or has a different view, may already have placed the flow of
/// a first packet.
bool FlowEngine::mayHaveBeenPlaced(const FlowContext &flow, TimePoint now) const
{
    if (flow.owner != m_self) {
        return true;
    }
    return now - m_routing.ownership->ownersChangedAt(flow.service->id) < retransmitWindow(*flow.service);
}

/// Returns how long after the placement of a flow its first packet may be repeated: for TCP, until the
/// handshake times out; for UDP, as long as the flow is kept.
Duration FlowEngine::retransmitWindow(const ServiceTable &service)
{
    return service.protocol == Protocol::Tcp ? service.policy.handshakeTimeout : service.policy.idleTimeout;
}

Decision FlowEngine::decideUnknown(
    const PacketView &packet, const FlowContext &flow, InstanceId origin, TimePoint now)
{
    if (m_queries.find(flow.key) != nullptr) {
        return Decision::drop(DropCause::AwaitingBinding);
    }
    if (packet.flags.rst) {
        return Decision::drop(DropCause::NoTarget);
    }
    if (!flow.service->policy.repeatable && m_routing.ownership->mayLackHistory()) {
        // An instance that does not answer may have bound the flow to a target that the settings no longer
        // give.
        return Decision::drop(DropCause::AwaitingBinding);
    }
    const bool isNew = packet.mayOpenFlow();
    const bool mustAsk = !isNew || mayHaveBeenPlaced(flow, now);
    if (mustAsk && !m_routing.ownership->peers().empty()) {
        return startQuery(packet, flow, origin, now) ? Decision::hold()
                                                     : Decision::drop(DropCause::AwaitingBinding);
    }
    Decision decision = isNew ? placeNewFlow(packet, flow, now) : resumeUnknownFlow(packet, flow, now);
    const bool needsQuery = decision.action == PacketAction::Refuse && packet.protocol == Protocol::Udp
        && !m_routing.ownership->peers().empty();
    if (needsQuery) {
        // A datagram may carry a whole request, so a refusal ("did not run") needs a reply from every peer.
        return startQuery(packet, flow, origin, now) ? Decision::hold() : Decision::drop(decision.cause);
    }
    decision.notifiesOrigin = origin != InstanceId{} && decision.action == PacketAction::ToTarget;
    return recordIfRefused(decision, flow);
}

/// Counts and records the decision if it refuses the flow. Returns the decision unchanged.
Decision FlowEngine::recordIfRefused(const Decision &decision, const FlowContext &flow)
{
    if (decision.action != PacketAction::Refuse) {
        return decision;
    }
    ++m_counters.refused;
    FlowRecord record;
    record.flow = flow.tuple;
    record.service = flow.service->name;
    record.division = flow.service->policy.division;
    record.cause = EndCause::Refused;
    record.isOwner = true;
    m_records.push_back(std::move(record));
    return decision;
}

bool FlowEngine::admitsNewFlow(const ServiceTable &service, TimePoint now)
{
    if (service.policy.newFlowLimit == 0) {
        return true;
    }
    const double rate = static_cast<double>(service.policy.newFlowLimit) / m_limits.threads;
    const auto [position, isNew] = m_newFlowBuckets.try_emplace(service.id, rate, now);
    if (position->second.rate != rate) {
        position->second = NewFlowBucket(rate, now);
    }
    return position->second.bucket.take(1, now);
}

const TargetEntry *FlowEngine::selectNewTarget(const FlowContext &flow, TimePoint now, DropCause &cause) const
{
    cause = DropCause::NoTarget;
    if (flow.service->policy.repeatable) {
        // After the loss of an instance, a flow that only it knew is most likely at its recovery target.
        const TargetEntry *const likelyTarget
            = m_routing.ownership->hadInstanceLoss(retransmitWindow(*flow.service), now)
            ? flow.service->recoveryTarget(flow.hash)
            : nullptr;
        const bool isUsable = likelyTarget != nullptr && maySelect(*likelyTarget, now);
        return isUsable ? likelyTarget : selectTarget(*flow.service, flow.hash, now);
    }
    // The target of a non-repeatable flow depends on the settings alone. While an instance may still place by
    // an earlier version that gives another target, the packet is dropped and the caller retries.
    const TargetEntry *const choice = flow.service->preferredTarget(flow.hash);
    if (flow.service->conflictsWithPrevious(flow.hash)) {
        cause = DropCause::Quarantined;
        return nullptr;
    }
    const bool hasRoom = choice != nullptr && choice->load->outstanding() < choice->settings.connectionLimit;
    return hasRoom ? choice : nullptr;
}

Decision FlowEngine::placeNewFlow(const PacketView &packet, const FlowContext &flow, TimePoint now)
{
    if (!admitsNewFlow(*flow.service, now)) {
        return refuse(flow, DropCause::ServiceLimit, now);
    }
    if (exceedsShare(*flow.service)) {
        return refuse(flow, DropCause::TableFull, now);
    }
    DropCause cause = DropCause::None;
    const TargetEntry *const target = selectNewTarget(flow, now, cause);
    if (target == nullptr) {
        return cause == DropCause::Quarantined ? Decision::drop(cause) : refuse(flow, cause, now);
    }
    FlowEntry *const entry = insertEntry(flow, target->id, FlowState::Opening, now);
    if (entry == nullptr) {
        return refuse(flow, DropCause::TableFull, now);
    }
    if (flow.owner == m_self) {
        takeOwnership(*entry, flow);
    }
    ++m_counters.placed;
    m_counters.exceptions += entry->has(FlowMark::Exceptional) ? 1 : 0;
    countPacket(*entry, packet, true, now);
    return Decision::toTarget(target->settings.address);
}

/// Sends a running flow whose binding is unknown to all instances to its recovery target.
Decision FlowEngine::resumeUnknownFlow(const PacketView &packet, const FlowContext &flow, TimePoint now)
{
    const TargetEntry *const target = flow.service->recoveryTarget(flow.hash);
    const bool isCertain = flow.service->policy.repeatable
        || (flow.service->previous == nullptr && target == flow.service->preferredTarget(flow.hash));
    if (target == nullptr || !isCertain) {
        return Decision::drop(DropCause::NoTarget);
    }
    FlowEntry *const entry = insertEntry(flow, target->id, FlowState::Established, now);
    if (entry == nullptr) {
        return Decision::drop(DropCause::TableFull);
    }
    if (flow.owner == m_self) {
        takeOwnership(*entry, flow);
    }
    ++m_counters.fallbacks;
    countPacket(*entry, packet, true, now);
    applyTcpFlags(*entry, packet.flags, true);
    return Decision::toTarget(target->settings.address);
}

/// Refuses a flow only if no packet of it can have reached a target; otherwise drops the packet, so that the
/// caller retries.
Decision FlowEngine::refuse(const FlowContext &flow, DropCause cause, TimePoint now) const
{
    const bool isSilent = mayHaveBeenPlaced(flow, now)
        || (flow.service->protocol == Protocol::Udp && !flow.service->policy.repeatable);
    if (isSilent) {
        return Decision::drop(cause);
    }
    return Decision::refuse(cause);
}

} // namespace jasminequay
