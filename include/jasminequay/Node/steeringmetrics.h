// The metrics of an instance that steers by token.
#pragma once

#include "jasminequay/Node/steeringcontrol.h"

#include <string>

namespace jasminequay
{

/// Returns all metrics as text; docs/OPERATIONS.md documents each of them.
std::string steeringMetricsPage(
    SteeringControl &control, const PathCounters &path, std::uint64_t logLinesLeftOut, TimePoint now);

} // namespace jasminequay
