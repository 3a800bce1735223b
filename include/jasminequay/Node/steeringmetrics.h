// The metrics of an instance that steers by token.
#pragma once

#include "jasminequay/Node/steeringcontrol.h"

#include <string>

namespace jasminequay
{

/// Prints all metrics; docs/OPERATIONS.md names each.
std::string steeringMetricsPage(
    SteeringControl &control, const PathCounters &path, std::uint64_t logLinesLeftOut, TimePoint now);

} // namespace jasminequay
