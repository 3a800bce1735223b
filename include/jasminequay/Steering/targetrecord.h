// A target as it publishes itself.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Steering/steeringtoken.h"
#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <string>

namespace jasminequay
{

/// The published entry of a target.
struct TargetRecord {
    std::string name; ///< The id as text, for logs.
    TargetIdentity identity;
    Endpoint address;
    std::string service;
    std::string dataCentre;
    std::uint32_t slots = 1; ///< The number of requests that it processes at a time.
    bool isDraining = false;
    Duration warmUpLeft{}; ///< The rest of its slow start when the entry was written.
    std::uint64_t revision = 0; ///< The store revision of the entry; orders older and newer ones.
};

} // namespace jasminequay
