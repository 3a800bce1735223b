// The endpoints of the data channels of peers.
#pragma once

#include "jasminequay/Packet/endpoint.h"

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace jasminequay
{

/// Maps the id of an instance to its data endpoint.
using PeerDirectory = std::unordered_map<std::uint64_t, Endpoint>;
using PeerDirectoryPointer = std::shared_ptr<const PeerDirectory>;

} // namespace jasminequay
