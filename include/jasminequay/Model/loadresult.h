// The result of one run of the load model.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <vector>

namespace jasminequay
{

/// Counts of the calls that began in a time interval, by outcome.
struct CallCounts {
    std::uint64_t offered = 0;
    std::uint64_t withinObjective = 0;
    std::uint64_t late = 0; ///< Answered after the objective.
    std::uint64_t unserved = 0; ///< Not answered before the deadline or the end of the run.

    /// Returns the share of calls that were answered within the objective, or one without calls.
    [[nodiscard]] double goodShare() const
    {
        return offered == 0 ? 1 : static_cast<double>(withinObjective) / static_cast<double>(offered);
    }
};

/// The outcome of one run.
struct LoadResult {
    CallCounts measured; ///< Calls that began in the measured interval of the plan.
    std::vector<CallCounts> routes; ///< The measured calls by route.
    std::vector<CallCounts> seconds; ///< By the second of the run in which a call began.
    std::uint64_t refusedAttempts = 0; ///< Attempts that an instance refused.
    std::vector<std::uint64_t> refusedBySecond; ///< The refused attempts by the second of the run.
    std::uint64_t sentAttempts = 0; ///< Attempts that reached a target.
    std::uint64_t shedAttempts = 0; ///< Attempts that a full target rejected.
    std::uint64_t otherDataCentre = 0; ///< New flows to a target outside the caller's data centre.
    std::vector<double> latencies; ///< Of the measured calls that were answered, in milliseconds, sorted.

    /// Returns a quantile of the latencies in milliseconds, or zero without latencies.
    [[nodiscard]] double latency(double quantile) const;
};

} // namespace jasminequay
