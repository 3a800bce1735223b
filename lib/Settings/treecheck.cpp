#include "treecheck.h"

#include <map>
#include <string>
#include <utility>

namespace jasminequay
{

using ProtocolEndpoint = std::pair<Endpoint, Protocol>;

static std::string nodeOf(const ServiceSettings &service)
{
    return "data-centres/" + service.dataCentre + "/services/" + service.name;
}

static std::string heldMessage(const char *what, Endpoint endpoint, const std::string &holder)
{
    return std::string("the ") + what + " " + format(endpoint) + " is already held by " + holder;
}

void checkExclusiveAddresses(const Configuration &configuration, Mistakes &mistakes)
{
    std::map<ProtocolEndpoint, std::string> holders;
    for (const ServiceSettings &service : configuration.services) {
        const auto [holder, isNew]
            = holders.emplace(ProtocolEndpoint{service.address, service.protocol}, nodeOf(service));
        if (!isNew) {
            mistakes.push_back({service.line, 1, nodeOf(service) + "/address",
                heldMessage("address", service.address, holder->second)});
        }
    }
    // A target that is also a service address would make the system forward to itself.
    for (const ServiceSettings &service : configuration.services) {
        for (const TargetSettings &target : service.targets) {
            const ProtocolEndpoint key{target.address, service.protocol};
            if (const auto [holder, isNew] = holders.emplace(key, nodeOf(service)); !isNew) {
                mistakes.push_back({target.line, 1, nodeOf(service) + "/targets",
                    heldMessage("target", target.address, holder->second)});
            }
        }
    }
}

} // namespace jasminequay
