// Decisions about packets and their causes.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Steering/flowmemory.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace jasminequay
{

/// What to do with a packet.
enum class SteeringAction : std::uint8_t {
    Forward,
    Reset, ///< Answer the caller with a reset.
    Drop, ///< Send nothing: the caller retransmits the packet.
};

/// The cause of a decision; each has a counter.
enum class SteeringCause : std::uint8_t {
    Placed, ///< A new flow was assigned a target.
    PlacedAgain, ///< A retransmitted opening packet was sent to another target.
    ByMemory, ///< The flow's target was found in the flow table.
    ByToken, ///< The packet's token names the target.
    NoRoute,
    RouteDropped, ///< The route of an open flow was removed.
    RouteUncertain, ///< The routes known here may be out of date.
    NoTarget, ///< No target may take the flow.
    TargetGone,
    TargetDead,
    TargetUnreachable,
    TokenUnknown, ///< The token names no known target, and the known targets are current.
    OpeningStale, ///< An opening packet that was queued here while the instance was paused.
    TokenUncertain, ///< The token names no known target, but the known targets may be out of date.
    ServiceFull, ///< More requests are in flight at the service than can be answered in time.
    Evacuated, ///< All targets that could take the flow are in evacuated data centres.
};

constexpr std::size_t SteeringCauseCount = 16;

std::string_view steeringActionName(SteeringAction action);
std::string_view steeringCauseName(SteeringCause cause);

/// The decision about one packet.
struct SteeringDecision {
    SteeringAction action = SteeringAction::Drop;
    SteeringCause cause = SteeringCause::NoRoute;
    Endpoint target; ///< Where to forward the packet.
    std::uint64_t targetId = 0; ///< The id of the target that should receive the packet.
    SteeringToken token = NoToken; ///< The token to write into the packet.
    std::uint32_t resetSequence = 0; ///< The sequence number of the reset.
};

/// A reset that is sent to a caller without a packet to which it responds.
struct PendingReset {
    SteeredFlow flow;
    SteeringCause cause = SteeringCause::TargetGone;
    std::uint32_t sequence = 0;
    std::uint64_t targetKey = 0;
};

/// The number of decisions by cause.
using SteeringCounters = std::array<std::uint64_t, SteeringCauseCount>;

} // namespace jasminequay
