#include "fixtures.h"

#include "jasminequay/Placement/cataloguebuilder.h"

#include <sstream>

namespace jasminequay::bench
{

Endpoint serviceAddress(std::size_t number)
{
    return {{0x0a010000U + static_cast<std::uint32_t>(number)}, 443};
}

Endpoint callerAddress(std::size_t number)
{
    return {{0x0b000000U + static_cast<std::uint32_t>(number / 60000)},
        static_cast<std::uint16_t>(1024 + number % 60000)};
}

static Endpoint targetAddress(std::size_t service, std::size_t target)
{
    return {{0x0a800000U + static_cast<std::uint32_t>(service * 1024 + target)}, 8443};
}

Configuration makeConfiguration(std::uint64_t version, std::size_t services, std::size_t targets)
{
    Configuration configuration;
    configuration.version = version;
    for (std::size_t number = 0; number < services; ++number) {
        ServiceSettings service;
        service.name = "service-" + std::to_string(number);
        service.dataCentre = "dc";
        service.address = serviceAddress(number);
        service.policy.division = "division";
        for (std::size_t index = 0; index < targets; ++index) {
            TargetSettings target;
            target.address = targetAddress(number, index);
            target.connectionLimit = 1U << 30;
            target.slots = 2;
            service.targets.push_back(target);
        }
        configuration.services.push_back(std::move(service));
    }
    return configuration;
}

std::string makeTree(std::uint64_t version, std::size_t services, std::size_t targets)
{
    std::ostringstream out;
    out << "version: " << version
        << "\ngroup: g\ndefaults: {division: d}\ndata-centres:\n  dc:\n    services:\n";
    for (const ServiceSettings &service : makeConfiguration(version, services, targets).services) {
        out << "      " << service.name << ":\n        address: " << format(service.address)
            << "\n        protocol: tcp\n        targets:\n";
        for (const TargetSettings &target : service.targets) {
            out << "          - {address: " << format(target.address) << "}\n";
        }
    }
    return out.str();
}

RoutingSnapshot makeSnapshot(const Configuration &configuration, InstanceId self, TimePoint now)
{
    CatalogueBuilder builder("dc");
    RoutingSnapshot snapshot;
    snapshot.catalogue = builder.apply(configuration, now);
    const MemberSets members{{self}, {}, TimePoint::min(), false};
    snapshot.ownership
        = std::make_shared<const OwnershipView>(*snapshot.catalogue, self, members, OwnershipView{}, now);
    return snapshot;
}

} // namespace jasminequay::bench
