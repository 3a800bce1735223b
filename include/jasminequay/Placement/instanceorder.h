// The rendezvous order of instances for a service, which gives its owners and their successors.
#pragma once

#include "jasminequay/Placement/instanceid.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace jasminequay
{

/// Returns the first `count` of the instances in the rendezvous order for a name.
std::vector<InstanceId> firstInstances(
    std::string_view name, const std::vector<InstanceId> &instances, std::size_t count);

} // namespace jasminequay
