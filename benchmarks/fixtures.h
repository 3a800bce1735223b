// Settings and packets of a chosen size for the benchmarks.
#pragma once

#include "packetfactory.h"

#include "jasminequay/Flow/ownershipview.h"
#include "jasminequay/Settings/configuration.h"

#include <string>

namespace jasminequay::bench
{

/// Returns a configuration of one data centre "dc" with services over TCP.
Configuration makeConfiguration(std::uint64_t version, std::size_t services, std::size_t targets);

/// Returns the same as a YAML text.
std::string makeTree(std::uint64_t version, std::size_t services, std::size_t targets);

/// Returns a snapshot in which `self` owns everything alone.
RoutingSnapshot makeSnapshot(const Configuration &configuration, InstanceId self, TimePoint now);

/// Returns the address of a service.
Endpoint serviceAddress(std::size_t number);

/// Returns the endpoint of a caller.
Endpoint callerAddress(std::size_t number);

} // namespace jasminequay::bench
