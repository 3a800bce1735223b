// Where new flows of a route would go at an instance, and why.
#pragma once

#include "jasminequay/Steering/targetdirectory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminequay
{

/// Why a target gets new flows, or gets none.
enum class PlacementReason : std::uint8_t {
    Chosen, ///< It got a sampled flow.
    Tied, ///< It is as good as the best target: the hash of the flow decides.
    Draining,
    Evacuated, ///< Its data centre is evacuated.
    Ejected, ///< It answers worse than the others of its service.
    ColdWithoutRoom, ///< It is cold and got the flows that it bears.
    Lost, ///< It is considered dead or unreachable.
    Suspect, ///< Packets to it were unanswered.
    OpeningUnanswered, ///< It leaves opening packets unanswered.
    DataCentreSilent, ///< Its data centre may be out of reach.
    Lapsed, ///< Its entry is missing.
    DataCentreFull, ///< The requests in flight at its service and data centre are limited.
    OtherDataCentre,
    MoreLoad, ///< It has more flows for its slots than the best target.
    WarmingUp,
    SlowerResponses,
    RankedLower, ///< None of the above.
};

constexpr std::size_t PlacementReasonCount = 17;

std::string_view placementReasonName(PlacementReason reason);

/// A target in the order of preference.
struct PreviewedTarget {
    const KnownTarget *target = nullptr;
    std::size_t newFlows = 0; ///< The sampled flows that it got.
    PlacementReason reason = PlacementReason::RankedLower;
};

/// The targets of a service in one data centre.
struct PreviewedDataCentre {
    std::size_t targets = 0;
    bool isSilent = false; ///< Whether it may be out of reach.
    bool isFull = false; ///< Whether no further flow of the route may open there.
    /// The most requests that this instance may have in flight there; nothing if there is no limit.
    std::optional<double> limit;
    double objectiveShare = 0; ///< The recent response time as a share of the objective.
    std::uint32_t requestsInFlight = 0; ///< Those of this instance.
};

/// The number of sampled flows by the key of their target.
using SampledFlows = std::map<std::uint64_t, std::size_t>;

/// A service of the route.
struct PreviewedService {
    std::string name;
    double weight = 0;
    std::size_t targets = 0; ///< The number of all its targets.
    std::map<std::string, PreviewedDataCentre> dataCentres; ///< By name.
    /// The most preferred targets, best first, and then others that got a sampled flow.
    std::vector<PreviewedTarget> ranking;
};

/// The decisions about sampled new flows of a route.
struct PlacementPreview {
    std::size_t samples = 0;
    std::size_t refusedAsFull = 0; ///< Samples that get no target because all candidates are overloaded.
    std::size_t withoutTarget = 0; ///< Samples for which there is no target at all.
    std::vector<PreviewedService> services;
};

} // namespace jasminequay
