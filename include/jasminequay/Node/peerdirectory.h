// Where the data channels of peers are.
#pragma once

#include "jasminequay/Packet/endpoint.h"

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace jasminequay
{

/// The data endpoints by instance.
using PeerDirectory = std::unordered_map<std::uint64_t, Endpoint>;
using PeerDirectoryPointer = std::shared_ptr<const PeerDirectory>;

} // namespace jasminequay
