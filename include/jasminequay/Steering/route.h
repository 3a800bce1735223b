// Routes: to which services new flows to an address are sent.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jasminequay
{

/// How the requests of a route may be repeated.
enum class RequestKind : std::uint8_t {
    Idempotent,
    NonIdempotent, ///< Must run at most once.
    Download, ///< Idempotent, with a long response.
};

std::string_view requestKindName(RequestKind kind);

/// One service of a route and its share of the new flows.
struct WeightedService {
    std::string service;
    double weight = 1;
};

/// The rule for the flows to one address.
struct Route {
    std::string name;
    Endpoint address;
    RequestKind kind = RequestKind::NonIdempotent;
    Duration timeout{}; ///< The callers' deadline for a request; zero if unknown.
    std::vector<WeightedService> services;
    Duration objective{}; ///< The response time that requests should meet; zero if unknown.
    std::uint32_t priority = 0; ///< Zero is the highest.
};

/// How a service's targets are treated while they are cold.
struct SlowStart {
    Duration duration{}; ///< How long a target is cold after a time without flows; zero if unknown.
    double flowsPerSecond = 0; ///< The new flows that a cold target bears; zero for no limit.
};

/// One version of all routes.
struct RouteConfiguration {
    std::uint64_t version = 0; ///< Increases with each change; zero before the first one.
    Duration idleTimeout{}; ///< How long a flow without packets is kept; zero if unknown.
    std::vector<Route> routes;
    /// The services that are declared, with or without a route, and the health check path of their targets.
    std::map<std::string, std::string> healthPaths;
    std::map<std::string, SlowStart> slowStarts = {}; ///< Of the services that state one.
    std::uint32_t era = 0; ///< The era of the store in which this version was read.

    /// Returns what orders configurations: a restore of the store can bring lower versions back.
    [[nodiscard]] std::pair<std::uint32_t, std::uint64_t> order() const
    {
        return {era, version};
    }
};

} // namespace jasminequay
