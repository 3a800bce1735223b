// Builds catalogues from settings, assigns the IDs of services and targets, and decides what is quarantined.
#pragma once

#include "jasminequay/Placement/catalogue.h"
#include "jasminequay/Placement/heldback.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace jasminequay
{

/// Builds a catalogue for each version of the settings. A change takes effect in two steps: apply() puts the
/// version in force but quarantines what moved, and releaseQuarantine() ends the quarantine when every
/// instance has confirmed the version.
class CatalogueBuilder
{
public:
    explicit CatalogueBuilder(std::string dataCentre);

    /// Applies a version. Returns the new catalogue, or the current one if the version is not newer.
    std::shared_ptr<const Catalogue> apply(const Configuration &configuration, TimePoint now);

    /// Applies the first version of a joining instance and quarantines what its peers have quarantined.
    std::shared_ptr<const Catalogue> applyOnJoin(
        const Configuration &configuration, const Quarantine &quarantine, TimePoint now);

    /// Ends the quarantine of the current version. Returns the new catalogue.
    std::shared_ptr<const Catalogue> releaseQuarantine();

    /// Returns the current catalogue.
    [[nodiscard]] const std::shared_ptr<const Catalogue> &current() const
    {
        return m_current;
    }

    /// Tells whether the current version has anything in quarantine.
    [[nodiscard]] bool hasQuarantine() const;

    /// Returns the quarantine of the current version.
    [[nodiscard]] Quarantine quarantine() const;

private:
    using EndpointKey = std::pair<Endpoint, Protocol>;

    /// The state of a target that one process keeps across versions.
    struct TargetHistory {
        TargetId id = 0;
        std::string service; ///< The service to which it last belonged.
        bool isMoving = false;
        bool isCold = false;
        TimePoint coldSince;
        std::shared_ptr<TargetLoad> load;
    };

    /// The state of a service address that one process keeps across versions.
    struct AddressHistory {
        std::string service;
        bool isMoving = false;
    };

    ServiceId serviceId(const std::string &name);
    TargetEntry targetEntry(const TargetSettings &settings, const ServiceSettings &service, TimePoint now);
    bool isAddressMoving(const ServiceSettings &service);
    Catalogue::TablePointer tableFor(const ServiceSettings &service, TimePoint now);

    std::string m_dataCentre;
    std::shared_ptr<const Catalogue> m_current;
    std::map<std::string, ServiceId> m_serviceIds;
    TargetId m_nextTargetId = 1;
    std::map<EndpointKey, TargetHistory> m_targets;
    std::map<EndpointKey, AddressHistory> m_addresses;
};

} // namespace jasminequay
