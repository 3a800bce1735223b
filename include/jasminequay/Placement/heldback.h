// The quarantine of a settings version, which lasts until every instance has confirmed the version. An
// instance sends it to a joining instance.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Packet/protocol.h"

#include <set>
#include <string>
#include <utility>

namespace jasminequay
{

/// The addresses and services in quarantine.
struct Quarantine {
    std::set<std::pair<Endpoint, Protocol>>
        endpoints; ///< Service addresses and targets that moved between services.
    std::set<std::string> services; ///< Non-repeatable services whose targets changed.
};

} // namespace jasminequay
