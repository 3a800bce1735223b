// The resolved tree of services: what each data centre serves, with every inherited value filled in.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Packet/protocol.h"
#include "jasminequay/Settings/servicepolicy.h"
#include "jasminequay/Settings/targetstate.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jasminequay
{

/// A target of a service.
struct TargetSettings {
    Endpoint address;
    double weight = 1.0;
    std::uint32_t connectionLimit = 0;
    std::uint32_t slots = 0;
    TargetState state = TargetState::Serving;
    std::size_t line = 0;
};

/// A service of one data centre.
struct ServiceSettings {
    std::string name;
    std::string dataCentre;
    Endpoint address;
    Protocol protocol = Protocol::Tcp;
    ServicePolicy policy;
    std::vector<TargetSettings> targets;
    std::size_t line = 0;
};

/// One version of the tree. Versions only grow.
struct Configuration {
    std::uint64_t version = 0;
    std::string group;
    std::vector<ServiceSettings> services;
};

} // namespace jasminequay
