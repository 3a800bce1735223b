// Decisions about packets that come from the targets' side.
#include "jasminequay/Flow/flowengine.h"

#include <algorithm>
#include <limits>

namespace jasminequay
{

/// The owner of a flow must see its first answer and its end: it keeps the flow and counts it at its target.
bool FlowEngine::mustPassOwner(
    const PacketView &packet, const FlowContext &flow, const FlowEntry *entry) const
{
    const bool isElsewhere = flow.owner != m_self && flow.owner != InstanceId{};
    const bool isFirst = entry == nullptr || entry->state == FlowState::Opening;
    return isElsewhere && (packet.flags.syn || packet.flags.closes() || isFirst);
}

Decision FlowEngine::onTargetPacket(
    const PacketView &packet, InstanceId origin, std::uint8_t hops, TimePoint now)
{
    if (now > m_leaseUntil) {
        return Decision::drop(DropCause::Fenced);
    }
    // An ICMP error on the way to a target quotes a packet whose destination is the target.
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
        recordUnbound(packet, flow, address, false);
        return Decision::toCaller(place.service->address);
    }
    FlowEntry *entry = m_table.find(flow.key);
    if (entry != nullptr && isRemembered(*entry, *flow.service, now)) {
        // The answer tells more than a memory does.
        forget(*entry, EndCause::Released);
        entry = nullptr;
    }
    const bool isPassedOn = hops == 0 && flow.owner != origin && mustPassOwner(packet, flow, entry);
    if (entry == nullptr) {
        entry = learn(packet, flow, place, now);
    } else if (isPassedOn && entry->state == FlowState::Opening && entry->target == place.target->id) {
        entry->state = FlowState::Established;
    }
    if (isPassedOn) {
        return relay(flow, hops);
    }
    if (entry == nullptr) {
        recordUnbound(packet, flow, address, false);
        return Decision::toCaller(place.service->address);
    }
    return acceptAnswer(*entry, packet, flow, place, now);
}

Decision FlowEngine::acceptAnswer(FlowEntry &entry, const PacketView &packet, const FlowContext &flow,
    const TargetPlace &place, TimePoint now)
{
    if (entry.target != place.target->id) {
        // The answer tells where the flow is, unless the target of this entry has answered before.
        const bool mayFollow = entry.state == FlowState::Opening || isVoid(entry, flow);
        if (!mayFollow) {
            return Decision::drop(DropCause::CrossedAnswer);
        }
        rebind(entry, place.target->id, flow);
    }
    if (entry.state == FlowState::Opening) {
        entry.state = FlowState::Established;
        const Tick waited = tickAt(now) - entry.since + 1;
        entry.firstAnswer
            = static_cast<std::uint16_t>(std::min<Tick>(waited, std::numeric_limits<std::uint16_t>::max()));
    }
    countPacket(entry, packet, false, now);
    noteFlags(entry, packet.flags, false);
    return Decision::toCaller(place.service->address);
}

/// Learns a binding from an answer: the target that answers holds the flow.
FlowEntry *FlowEngine::learn(
    const PacketView &packet, const FlowContext &flow, const TargetPlace &place, TimePoint now)
{
    FlowEntry *const entry
        = packet.flags.rst ? nullptr : insertEntry(flow, place.target->id, FlowState::Established, now);
    if (entry == nullptr) {
        return nullptr;
    }
    ++m_counters.learned;
    if (flow.owner == m_self) {
        own(*entry, flow);
    }
    return entry;
}

} // namespace jasminequay
