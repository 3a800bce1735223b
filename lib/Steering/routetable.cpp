#include "jasminequay/Steering/routetable.h"

#include "jasminequay/Placement/rendezvous.h"
#include "jasminequay/Support/hash.h"

#include <algorithm>

namespace jasminequay
{

bool RouteTable::replaceAll(RouteConfiguration configuration)
{
    if (configuration.order() <= m_configuration.order()) {
        return false;
    }
    m_configuration = std::move(configuration);
    m_byAddress.clear();
    m_byAddress.reserve(m_configuration.routes.size());
    m_lowestPriorities.clear();
    m_services.clear();
    for (const auto &[service, path] : m_configuration.healthPaths) {
        m_services.insert(service);
    }
    for (const Route &route : m_configuration.routes) {
        m_byAddress[route.address.packed()] = &route;
        for (const WeightedService &service : route.services) {
            std::uint32_t &lowest = m_lowestPriorities[service.service];
            lowest = std::max(lowest, route.priority);
            m_services.insert(service.service);
        }
    }
    return true;
}

bool RouteTable::completeSlowStarts(const RouteConfiguration &configuration)
{
    const bool isMissing = configuration.version == m_configuration.version
        && m_configuration.slowStarts.empty() && !configuration.slowStarts.empty();
    if (isMissing) {
        m_configuration.slowStarts = configuration.slowStarts;
    }
    return isMissing;
}

std::uint32_t RouteTable::lowestPriority(const std::string &service) const
{
    const auto found = m_lowestPriorities.find(service);
    return found == m_lowestPriorities.end() ? 0 : found->second;
}

const Route *RouteTable::at(Endpoint address) const
{
    const auto found = m_byAddress.find(address.packed());
    return found == m_byAddress.end() ? nullptr : found->second;
}

std::vector<const WeightedService *> serviceOrder(const Route &route, std::uint64_t flowHash)
{
    std::vector<std::pair<double, const WeightedService *>> scored;
    for (const WeightedService &candidate : route.services) {
        if (candidate.weight > 0) {
            const double score = rendezvousScore(flowHash, hashText(candidate.service), candidate.weight);
            scored.emplace_back(score, &candidate);
        }
    }
    std::sort(scored.begin(), scored.end(), std::greater<>());
    std::vector<const WeightedService *> order;
    order.reserve(scored.size());
    for (const auto &[score, candidate] : scored) {
        order.push_back(candidate);
    }
    return order;
}

} // namespace jasminequay
