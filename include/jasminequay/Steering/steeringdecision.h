// What to do with a packet, and why.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Steering/flowmemory.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace jasminequay
{

/// The verb of a decision.
enum class SteeringAction : std::uint8_t {
    Forward,
    Reset, ///< Answer the caller with a reset.
    Drop, ///< Stay silent: the caller repeats the packet.
};

/// The cause of a decision; each has its counter.
enum class SteeringCause : std::uint8_t {
    Placed, ///< A new flow got a target.
    PlacedAgain, ///< A copy of an opening packet went to another target.
    ByMemory, ///< The flow's target is remembered.
    ByToken, ///< The packet names its target.
    NoRoute,
    RouteDropped, ///< An open flow whose route is no more.
    RouteUncertain, ///< The routes known here may be out of date.
    NoTarget, ///< No target may take the flow.
    TargetGone,
    TargetDead,
    TargetUnreachable,
    TokenUnknown, ///< The token names no target, and what is known here is current.
    OpeningStale, ///< An opening packet that waited here while the instance slept.
    TokenUncertain, ///< The token names no target known here, which may be out of date.
    ServiceFull, ///< More requests are under way at the service than are answered in time.
};

constexpr std::size_t SteeringCauseCount = 15;

std::string_view steeringActionName(SteeringAction action);
std::string_view steeringCauseName(SteeringCause cause);

/// The decision about one packet.
struct SteeringDecision {
    SteeringAction action = SteeringAction::Drop;
    SteeringCause cause = SteeringCause::NoRoute;
    Endpoint target; ///< Where to forward the packet.
    std::uint64_t targetId = 0; ///< The target for which it is meant.
    SteeringToken token = NoToken; ///< The token to write into the packet.
    std::uint32_t resetSequence = 0; ///< The sequence number of the reset.
};

/// A reset for a flow that no packet asked for.
struct PendingReset {
    SteeredFlow flow;
    SteeringCause cause = SteeringCause::TargetGone;
    std::uint32_t sequence = 0;
    std::uint64_t targetKey = 0;
};

/// Counters of decisions by cause.
using SteeringCounters = std::array<std::uint64_t, SteeringCauseCount>;

} // namespace jasminequay
