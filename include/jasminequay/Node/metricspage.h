// The metrics of an instance in the Prometheus text format.
#pragma once

#include "jasminequay/Control/instancecontrol.h"
#include "jasminequay/Node/workerstats.h"
#include "jasminequay/Peer/peerlink.h"

#include <string>

namespace jasminequay
{

/// The counters of the control thread, as opposed to those of the traffic threads.
struct ControlCounters {
    PeerLinkCounters peers;
    std::uint64_t platformCalls = 0;
    std::uint64_t platformFailures = 0;
    std::uint64_t records = 0;
};

/// Returns all metrics as text; docs/OPERATIONS.md documents each of them.
std::string metricsPage(
    const InstanceControl &control, const TrafficCounters &traffic, const ControlCounters &counters);

} // namespace jasminequay
