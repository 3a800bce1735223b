// Which packets may be retransmitted early, and to which targets, by the state of an engine.
#pragma once

#include "jasminequay/Steering/earlyretransmission.h"

#include <optional>

namespace jasminequay
{

/// Returns the packet to await if it is an opening packet, or begins a request that may be repeated; nothing
/// for copies, retransmissions, and requests of flows that this instance has not seen before. Opening packets
/// of all routes show how long targets take to answer them. Must be called right after the decision.
std::optional<AwaitedPacket> awaitedPacket(
    SteeringEngine &engine, const PacketSummary &packet, const SteeringDecision &decision, TimePoint now);

/// Returns whether a target may get a copy of a packet of a flow: the route may be repeated, and the target
/// is listed, healthy, not draining and not overloaded.
bool mayRetransmit(SteeringEngine &engine, std::uint64_t targetKey, const SteeredFlow &flow, TimePoint now);

} // namespace jasminequay
