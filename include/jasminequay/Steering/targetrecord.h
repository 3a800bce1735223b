// A target as it is published by itself.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Steering/steeringtoken.h"
#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <string>

namespace jasminequay
{

/// One published entry.
struct TargetRecord {
    std::string name; ///< The id as text, for logs.
    TargetIdentity identity;
    Endpoint address;
    std::string service;
    std::string dataCentre;
    std::uint32_t slots = 1; ///< The requests that it works on at a time.
    bool isDraining = false;
    Duration warmUpLeft{}; ///< How long it stays slow after its start, when the entry was written.
    std::uint64_t revision = 0; ///< The change of the entry; orders older and newer.
};

} // namespace jasminequay
