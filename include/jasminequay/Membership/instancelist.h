// The platform's list of live and leaving instances.
#pragma once

#include "jasminequay/Packet/endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jasminequay
{

/// One instance in the platform's list.
struct ListedInstance {
    std::string name;
    std::string dataCentre;
    Endpoint peerData;
    Endpoint peerControl;
    bool isLeaving = false;
};

/// The platform's list. It may be out of date; an older version never replaces a newer one.
struct InstanceList {
    std::uint64_t version = 0;
    std::vector<ListedInstance> instances;
};

} // namespace jasminequay
