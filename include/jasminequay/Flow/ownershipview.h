// The assignment of flows to owner instances, as computed by one instance at one time.
#pragma once

#include "jasminequay/Placement/catalogue.h"
#include "jasminequay/Placement/instanceid.h"

#include <memory>
#include <vector>

namespace jasminequay
{

/// The owners of one service.
struct ServiceOwners {
    std::vector<InstanceId> owners;
    InstanceId successor; ///< The instance that becomes an owner when one of the owners fails; zero if there
                          ///< is none.
    TimePoint changedAt; ///< When this instance last saw the owners change.
};

/// The instances of a data centre, as known to one instance.
struct MemberSets {
    std::vector<InstanceId> eligible; ///< Instances that may own flows.
    std::vector<InstanceId> reachable; ///< Instances that answer queries.
    TimePoint lastLossAt
        = TimePoint::min(); ///< When an instance was last lost without announcing that it leaves.
    /// Whether this instance joined late and a listed instance that knows earlier flows does not answer.
    bool mayLackHistory = false;
};

/// An immutable view of the owners of all services and of the live instances.
class OwnershipView
{
public:
    OwnershipView() = default;

    /// Computes the owners among the eligible instances. For services whose owners stay the same, the time of
    /// their last change is copied from `before`.
    OwnershipView(const Catalogue &catalogue, InstanceId self, const MemberSets &members,
        const OwnershipView &before, TimePoint now);

    /// Returns the owner of a flow; zero if no instance may own it.
    [[nodiscard]] InstanceId ownerOf(ServiceId service, std::uint64_t flowHash) const;

    /// Returns the instance that becomes the owner of a flow if its owner fails; zero if there is none.
    [[nodiscard]] InstanceId backupOf(ServiceId service, std::uint64_t flowHash) const;

    /// Returns when this instance last saw the owners of a service change.
    [[nodiscard]] TimePoint ownersChangedAt(ServiceId service) const;

    /// Returns the other instances that answer queries, including those that are leaving.
    [[nodiscard]] const std::vector<InstanceId> &peers() const
    {
        return m_peers;
    }

    /// Tells whether an instance was lost within `window` before `now`, so that there may be running flows
    /// that no instance knows.
    [[nodiscard]] bool hadInstanceLoss(Duration window, TimePoint now) const
    {
        return m_lastLossAt != TimePoint::min() && now - m_lastLossAt < window;
    }

    /// Tells whether there may be running flows of which this instance cannot learn by queries.
    [[nodiscard]] bool mayLackHistory() const
    {
        return m_mayLackHistory;
    }

    /// Returns the owners of a service; null if it is unknown.
    [[nodiscard]] const ServiceOwners *owners(ServiceId service) const
    {
        return service < m_services.size() ? &m_services[service] : nullptr;
    }

private:
    std::vector<ServiceOwners> m_services;
    std::vector<InstanceId> m_peers;
    TimePoint m_lastLossAt = TimePoint::min();
    bool m_mayLackHistory = false;
};

/// The immutable routing state of the traffic threads; each change replaces the whole snapshot.
struct RoutingSnapshot {
    std::shared_ptr<const Catalogue> catalogue = std::make_shared<const Catalogue>();
    std::shared_ptr<const OwnershipView> ownership = std::make_shared<const OwnershipView>();
};

} // namespace jasminequay
