// Failed answers of a target, as one instance reports them to its peers.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <cstdint>

namespace jasminequay
{

/// Failures that the sender of a message has observed at a target.
struct TargetFailures {
    std::uint64_t targetKey = 0;
    std::uint32_t count = 0; ///< Failures since the sender's previous report.
    Duration age{}; ///< Time since the latest of them, as of sending.
};

} // namespace jasminequay
