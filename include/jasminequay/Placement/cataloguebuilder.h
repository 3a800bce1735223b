// Builds catalogues from settings, keeps the numbers of services and targets, and decides what is
// quarantined.
#pragma once

#include "jasminequay/Placement/catalogue.h"
#include "jasminequay/Placement/heldback.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace jasminequay
{

/// Turns each version of the settings into a catalogue. A change takes force in two steps: apply() puts it in
/// force with what moved held back, and settle() releases that once every instance has confirmed the version.
class CatalogueBuilder
{
public:
    explicit CatalogueBuilder(std::string dataCentre);

    /// Applies a version. Returns the new catalogue; the present one where the version does not grow.
    std::shared_ptr<const Catalogue> apply(const Configuration &configuration, TimePoint now);

    /// Applies the first version of a joining instance, holding back what its peers hold back.
    std::shared_ptr<const Catalogue> applyOnJoin(
        const Configuration &configuration, const Quarantine &held, TimePoint now);

    /// Releases what the present version holds back. Returns the new catalogue.
    std::shared_ptr<const Catalogue> releaseQuarantine();

    /// Returns the present catalogue.
    [[nodiscard]] const std::shared_ptr<const Catalogue> &current() const
    {
        return m_current;
    }

    /// Tells whether the present version holds anything back.
    [[nodiscard]] bool hasQuarantine() const;

    /// Returns what the present version holds back.
    [[nodiscard]] Quarantine quarantine() const;

private:
    using EndpointKey = std::pair<Endpoint, Protocol>;

    /// What one process remembers of a target across versions.
    struct TargetMemory {
        TargetId id = 0;
        std::string service; ///< The service that it last belonged to.
        bool isMoving = false;
        bool isCold = false;
        TimePoint coldSince;
        std::shared_ptr<TargetLoad> load;
    };

    /// What one process remembers of a service address across versions.
    struct AddressMemory {
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
    std::map<EndpointKey, TargetMemory> m_targets;
    std::map<EndpointKey, AddressMemory> m_addresses;
};

} // namespace jasminequay
