// Routes: which services the new flows to an address go to.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jasminequay
{

/// What may be done with the requests of a route.
enum class RequestKind : std::uint8_t {
    Idempotent,
    NonIdempotent, ///< Must run at most once.
    Download, ///< Idempotent, with a long answer.
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
    Duration timeout{}; ///< The callers' deadline for a request; zero where it is not known.
    std::vector<WeightedService> services;
    Duration objective{}; ///< How soon a request should be answered; zero where it is not known.
    std::uint32_t priority = 0; ///< Zero is the highest.
};

/// One version of all routes.
struct RouteConfiguration {
    std::uint64_t version = 0; ///< Grows with each change; zero before the first.
    Duration idleTimeout{}; ///< How long a silent flow is kept; zero where it is not known.
    std::vector<Route> routes;
    std::map<std::string, std::string> healthPaths; ///< Where the targets of a service tell their health.
};

} // namespace jasminequay
