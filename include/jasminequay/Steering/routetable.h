// The routes in force, by address.
#pragma once

#include "jasminequay/Steering/route.h"

#include <optional>
#include <unordered_map>

namespace jasminequay
{

/// Holds the newest routes. A version once in force is never replaced by a lower one.
class RouteTable
{
public:
    /// Puts a configuration in force if its version grows; returns whether it did.
    bool adopt(RouteConfiguration configuration);

    /// Returns the route of an address; null if there is none.
    [[nodiscard]] const Route *at(Endpoint address) const;

    /// Returns the lowest priority, as a number the highest, of the routes to a service; zero if there is
    /// none.
    [[nodiscard]] std::uint32_t lowestPriority(const std::string &service) const;

    /// Returns the configuration in force.
    [[nodiscard]] const RouteConfiguration &configuration() const
    {
        return m_configuration;
    }

private:
    RouteConfiguration m_configuration;
    std::unordered_map<std::uint64_t, const Route *> m_byAddress;
    std::unordered_map<std::string, std::uint32_t> m_lowestPriorities;
};

/// Returns the services of a route in the order in which a flow should try them: the first by weight, so that
/// each service gets its share of the flows, the others after it. Services without weight are left out.
std::vector<const WeightedService *> serviceOrder(const Route &route, std::uint64_t flowHash);

} // namespace jasminequay
