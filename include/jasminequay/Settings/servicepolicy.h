// The settings of a service that inherit through the tree, with the level that each was taken from.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminequay
{

/// How the owner of a new flow picks its target.
enum class PlacementPolicy : std::uint8_t {
    Hash, ///< The first of the rendezvous order.
    Bounded, ///< The first of the rendezvous order whose load is under the bound.
    Least, ///< The target with the least outstanding flows for its weight.
};

std::string_view placementPolicyName(PlacementPolicy policy);
std::optional<PlacementPolicy> placementPolicyNamed(std::string_view name);

/// The level of the tree at which a value stands; Default means nowhere.
enum class Level : std::uint8_t { Default, Group, DataCentre, Service };

std::string_view levelName(Level level);

/// The inherited settings, in the order of the key table.
enum class PolicyKey : std::uint8_t {
    Division,
    Placement,
    Bound,
    Owners,
    Repeatable,
    ConnectionLimit,
    Slots,
    NewFlowLimit,
    HandshakeTimeout,
    IdleTimeout,
    DrainDeadline,
    ReplicateAfter,
    SlowStart,
    RecordInterval,
    ObjectiveWhole,
    ObjectiveRefused,
    ObjectiveFirstPacket,
    ReportPort,
};

constexpr std::size_t PolicyKeyCount = 18;

/// The place that a setting in force was taken from.
struct Origin {
    Level level = Level::Default;
    std::size_t line = 0;
};

/// The settings in force for one service. Rates and limits count per instance unless said otherwise.
struct ServicePolicy {
    std::string division;
    PlacementPolicy placement = PlacementPolicy::Bounded;
    double bound = 1.25; ///< The load that a target may have, as a multiple of the mean.
    std::uint32_t owners = 1; ///< How many instances of a data centre place new flows of the service.
    bool repeatable = true; ///< Whether a request may run twice.
    std::uint32_t connectionLimit = 2000; ///< Flows for each target.
    std::uint32_t slots = 2; ///< Requests that a target works on at once.
    std::uint32_t newFlowLimit = 0; ///< New flows a second at one owner; zero means no limit.
    Duration handshakeTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::minutes(5);
    Duration drainDeadline = std::chrono::hours(1);
    Duration replicateAfter = std::chrono::seconds(5);
    Duration slowStart = std::chrono::seconds(30);
    Duration recordInterval = std::chrono::seconds(60);
    double objectiveWhole = 99.9; ///< Per cent of flows that end with a whole answer.
    double objectiveRefused = 1.0; ///< Per cent of flows that may be refused.
    Duration objectiveFirstPacket = std::chrono::seconds(1);
    std::uint32_t reportPort = 0; ///< Where a target reports its load over HTTP; zero means that it does not.
    std::array<Origin, PolicyKeyCount> origins{};

    /// Returns the origin of one setting.
    [[nodiscard]] const Origin &origin(PolicyKey key) const
    {
        return origins[static_cast<std::size_t>(key)];
    }
};

} // namespace jasminequay
