// Counters of one flow at one instance since its last record.
#pragma once

#include "jasminequay/Flow/endcause.h"
#include "jasminequay/Flow/flowname.h"
#include "jasminequay/Support/timepoint.h"

#include <string>

namespace jasminequay
{

/// The counters of a flow, written as a connection record. Each packet is counted in one record only.
struct FlowRecord {
    FlowTuple flow;
    std::string service;
    std::string division;
    Endpoint target;
    EndCause cause = EndCause::Interim;
    bool isOwner = false; ///< Whether this instance owned the flow; only the owner records its end.
    std::uint32_t bytesUp = 0;
    std::uint32_t bytesDown = 0;
    std::uint32_t packetsUp = 0;
    std::uint32_t packetsDown = 0;
    Duration firstAnswer{}; ///< Zero if no answer was seen.
};

} // namespace jasminequay
