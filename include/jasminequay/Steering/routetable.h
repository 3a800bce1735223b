// The routes in force, by address.
#pragma once

#include "jasminequay/Steering/route.h"

#include <set>
#include <string>
#include <unordered_map>

namespace jasminequay
{

/// Holds the newest route configuration. Within an era of the store the version in force never decreases.
class RouteTable
{
public:
    /// Replaces the configuration in force if the new one is of a later era, or of the same era with a higher
    /// version; returns whether it did.
    bool replaceAll(RouteConfiguration configuration);

    /// Adds the slow starts of a configuration of the same version if none are known, as an older instance
    /// that handed on this version left them out; returns whether it did.
    bool completeSlowStarts(const RouteConfiguration &configuration);

    /// Returns the route of an address; null if there is none.
    [[nodiscard]] const Route *at(Endpoint address) const;

    /// Returns the lowest priority among the routes to a service, which is the highest number; zero if there
    /// is no route.
    [[nodiscard]] std::uint32_t lowestPriority(const std::string &service) const;

    /// Returns the services that the configuration names.
    [[nodiscard]] const std::set<std::string, std::less<>> &services() const
    {
        return m_services;
    }

    /// Returns the configuration in force.
    [[nodiscard]] const RouteConfiguration &configuration() const
    {
        return m_configuration;
    }

private:
    RouteConfiguration m_configuration;
    std::unordered_map<std::uint64_t, const Route *> m_byAddress;
    std::unordered_map<std::string, std::uint32_t> m_lowestPriorities;
    std::set<std::string, std::less<>> m_services;
};

/// Returns the services of a route in the order in which a flow should try them. The order is weighted, so
/// that each service is first for its share of the flows. Services without weight are left out.
std::vector<const WeightedService *> serviceOrder(const Route &route, std::uint64_t flowHash);

} // namespace jasminequay
