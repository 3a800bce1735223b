// Finds out whether a process listens at an address.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Steering/targetevidence.h"

#include <boost/asio/awaitable.hpp>

namespace jasminequay
{

/// Connects to a target and closes the connection at once; no request is made, so none of its slots is used.
boost::asio::awaitable<Reachability> probeReachability(Endpoint target);

} // namespace jasminequay
