// A queueing model of targets with slots, fed through owners that count what they placed. For measures only.
#pragma once

#include "jasminequay/Placement/servicetable.h"

#include <cstdint>
#include <string>

namespace jasminequay::bench
{

/// How targets report their load.
enum class Reports : std::uint8_t { None, Lagging, Lying };

/// What is varied.
struct ModelPlan {
    PlacementPolicy placement = PlacementPolicy::Least;
    double bound = 1.25;
    std::size_t targets = 4;
    std::size_t owners = 1;
    double use = 0.7; ///< The share of all slots that is busy on average.
    Reports reports = Reports::None;
    bool isLongFlows = false; ///< Flows do not queue: balance by count is measured.
    std::uint64_t seed = 1;
};

/// What came of it. Waits are in units of the mean service time.
struct ModelResult {
    double wait = 0;
    double oneQueueWait = 0; ///< One queue with exact knowledge, on the same arrivals and service times.
    double joinShortestWait
        = 0; ///< The target with the fewest requests, with exact knowledge and without holding any back.
    double imbalance = 0; ///< The mean over time of the fullest target over the mean.
    double imbalance99 = 0;
    double exceptions = 0; ///< The share of flows placed where the table does not point.
};

/// Runs the model with the real selection policies.
ModelResult runModel(const ModelPlan &plan);

} // namespace jasminequay::bench
