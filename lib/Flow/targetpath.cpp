// Decisions about packets that come from the targets' side.
#include "jasminequay/Flow/flowengine.h"

#include <algorithm>
#include <limits>

namespace jasminequay
{

/// Tells whether a packet must be forwarded to the owner of its flow. The owner must see the first answer and
/// the end of a flow, because it keeps the flow and counts it in the load of its target.
bool FlowEngine::mustRelayToOwner(
    const PacketView &packet, const FlowContext &flow, const FlowEntry *entry) const
{
    const bool hasOtherOwner = flow.owner != m_self && flow.owner != InstanceId{};
    const bool isFirstAnswer = entry == nullptr || entry->state == FlowState::Opening;
    return hasOtherOwner && (packet.flags.syn || packet.flags.closes() || isFirstAnswer);
}

Decision FlowEngine::onTargetPacket(
    const PacketView &packet, InstanceId origin, std::uint8_t hops, TimePoint now)
{
    if (now > m_leaseUntil) {
        return Decision::drop(DropCause::Fenced);
    }
    // An ICMP error from the targets' side quotes a packet whose destination is the target.
    const bool isError = packet.isIcmpError();
    const Endpoint caller = isError ? packet.source : packet.destination;
    const Endpoint address = isError ? packet.destination : packet.source;
    const TargetPlace place = m_routing.catalogue->targetAt(address, packet.protocol);
    if (place.target == nullptr) {
        return Decision::drop(isError ? DropCause::ForeignQuote : DropCause::UnknownTarget);
    }
    if (place.target->isQuarantined || place.service->isQuarantined) {
        return Decision::drop(DropCause::Quarantined);
    }
    const FlowContext flow = contextOf(*place.service, caller);
    if (isError) {
        recordUntracked(packet, flow, address, false);
        return Decision::toCaller(place.service->address);
    }
    FlowEntry *entry = m_table.find(flow.key);
    if (entry != nullptr && isExpiredCacheEntry(*entry, *flow.service, now)) {
        // The answer is newer than the expired cache entry.
        removeEntry(*entry, EndCause::Released);
        entry = nullptr;
    }
    const bool isRelayed = hops == 0 && flow.owner != origin && mustRelayToOwner(packet, flow, entry);
    if (entry == nullptr) {
        entry = learnBinding(packet, flow, place, now);
    } else if (isRelayed && entry->state == FlowState::Opening && entry->target == place.target->id) {
        entry->state = FlowState::Established;
    }
    if (isRelayed) {
        return relay(flow, hops);
    }
    if (entry == nullptr) {
        recordUntracked(packet, flow, address, false);
        return Decision::toCaller(place.service->address);
    }
    return acceptAnswer(*entry, packet, flow, place, now);
}

Decision FlowEngine::acceptAnswer(FlowEntry &entry, const PacketView &packet, const FlowContext &flow,
    const TargetPlace &place, TimePoint now)
{
    if (entry.target != place.target->id) {
        // The answering target holds the flow, unless the target of this entry has already answered.
        const bool mayRebind = entry.state == FlowState::Opening || hasInvalidTarget(entry, flow);
        if (!mayRebind) {
            return Decision::drop(DropCause::CrossedAnswer);
        }
        rebind(entry, place.target->id, flow);
    }
    if (entry.state == FlowState::Opening) {
        entry.state = FlowState::Established;
        const Tick answerDelay = tickAt(now) - entry.confirmedAt + 1;
        entry.firstAnswer = static_cast<std::uint16_t>(
            std::min<Tick>(answerDelay, std::numeric_limits<std::uint16_t>::max()));
    }
    countPacket(entry, packet, false, now);
    applyTcpFlags(entry, packet.flags, false);
    return Decision::toCaller(place.service->address);
}

/// Creates an entry from an answer: the target that answers holds the flow.
FlowEntry *FlowEngine::learnBinding(
    const PacketView &packet, const FlowContext &flow, const TargetPlace &place, TimePoint now)
{
    FlowEntry *const entry
        = packet.flags.rst ? nullptr : insertEntry(flow, place.target->id, FlowState::Established, now);
    if (entry == nullptr) {
        return nullptr;
    }
    ++m_counters.learned;
    if (flow.owner == m_self) {
        takeOwnership(*entry, flow);
    }
    return entry;
}

} // namespace jasminequay
