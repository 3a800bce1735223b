// Finds out which process answers at a target's address.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Steering/targetevidence.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace jasminequay
{

/// What a probe found.
struct TargetProbe {
    Reachability reachability = Reachability::Unknown;
    std::string name; ///< Who answered; empty where nobody said so.
};

/// Where to ask a target, and where in its answer its name stands.
struct ProbeQuestion {
    std::string path = "/";
    std::string nameHeader; ///< In lower case.
};

/// Asks a target for its health. Whether it says that it is well does not count, as that may be false; that
/// it answers does, and its name.
boost::asio::awaitable<TargetProbe> probeTarget(Endpoint target, ProbeQuestion question);

} // namespace jasminequay
