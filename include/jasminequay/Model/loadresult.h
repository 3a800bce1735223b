// What a run of the load model came to.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <vector>

namespace jasminequay
{

/// The calls that began in a span of time.
struct CallCounts {
    std::uint64_t offered = 0;
    std::uint64_t inObjective = 0;
    std::uint64_t late = 0; ///< Answered after the objective.
    std::uint64_t unserved = 0;

    /// Returns the share of calls that were answered within the objective; one where there were none.
    [[nodiscard]] double goodShare() const
    {
        return offered == 0 ? 1 : static_cast<double>(inObjective) / static_cast<double>(offered);
    }
};

/// The outcome of one run.
struct LoadResult {
    CallCounts measured; ///< In the span that the plan measures.
    std::vector<CallCounts> seconds; ///< By the second in which a call began.
    std::uint64_t refusedTries = 0; ///< Tries that an instance refused.
    std::uint64_t shedTries = 0; ///< Tries that a full target turned away.
    std::uint64_t otherDataCentre = 0; ///< Tries that went to another data centre than the caller's.
    std::vector<double> latencies; ///< Milliseconds of the measured calls that were answered, sorted.

    /// Returns a quantile of the latencies in milliseconds; zero where there are none.
    [[nodiscard]] double latency(double quantile) const;
};

} // namespace jasminequay
