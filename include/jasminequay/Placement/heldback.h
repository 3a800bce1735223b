// What a settings version holds back until every instance has confirmed it, as one instance tells a joining
// one.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Packet/protocol.h"

#include <set>
#include <string>
#include <utility>

namespace jasminequay
{

/// The addresses and services that are held back.
struct Quarantine {
    std::set<std::pair<Endpoint, Protocol>>
        endpoints; ///< Service addresses and targets that moved between services.
    std::set<std::string> services; ///< Services whose requests may not run twice and whose targets changed.
};

} // namespace jasminequay
