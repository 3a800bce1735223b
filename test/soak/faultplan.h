// The faults of one run, all drawn from its seed.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jasminequay::soak
{

/// What is done to the system.
enum class FaultKind : std::uint8_t {
    InstanceKilled,
    AllInstancesKilled,
    InstancePaused,
    InstanceStopped, ///< Asked to end, then started again.
    ClockStepped,
    SettingsTouched, ///< The settings file changes, sometimes with a signal.
    StoreLinkSlow,
    StoreLinkResets,
    StoreLinkSilent,
    StoreAnswersLost,
    StoreConnectionsSilenced, ///< Those that are open now, at all instances.
    StoreRefuses,
    StoreDown,
    StoreForgets,
    PeersCutOneWay,
    PeersHarmed, ///< Messages are lost, doubled, late and out of order.
    DataCentresCut, ///< Peers of different data centres do not hear each other.
    FetchesHarmed, ///< Connections between peers are reset or silent.
    CallersLinkHarmed,
    TargetKilled,
    TargetLeaves,
    TargetRestarts, ///< Under the same name.
    TargetReplaced, ///< Its address goes to a target of another service.
    TargetSilent,
    EntryLapsed, ///< Missing for a moment, while its target lives.
    EntryGarbled, ///< Another writer's entry appears.
    RouteAdded,
    RouteDropped,
};

constexpr std::size_t FaultKinds = 28;

std::string_view faultKindName(FaultKind kind);

/// One fault.
struct Fault {
    Duration at = {}; ///< Since the run started.
    FaultKind kind = FaultKind::InstanceKilled;
    Duration lasts = {};
    std::uint64_t choice = 0; ///< Selects whom it strikes, and its variant.
};

/// Draws the faults of a run: a few kinds, in series and overlapping, between two moments.
std::vector<Fault> drawFaults(std::uint64_t seed, Duration from, Duration to);

/// Prints a fault as one line.
std::string describe(const Fault &fault);

} // namespace jasminequay::soak
