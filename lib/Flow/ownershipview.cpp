#include "jasminequay/Flow/ownershipview.h"

#include "jasminequay/Placement/instanceorder.h"

#include <algorithm>

namespace jasminequay
{

OwnershipView::OwnershipView(const Catalogue &catalogue, InstanceId self, const MemberSets &members,
    const OwnershipView &before, TimePoint now)
    : m_services(catalogue.tables().size())
    , m_peers(members.reachable)
    , m_lastLossAt(members.lastLossAt)
    , m_mayLackHistory(members.mayLackHistory)
{
    std::erase(m_peers, self);
    for (const Catalogue::TablePointer &table : catalogue.tables()) {
        if (!table) {
            continue;
        }
        ServiceOwners &entry = m_services[table->id];
        entry.owners = firstInstances(table->name, members.eligible, table->policy.owners + 1U);
        if (entry.owners.size() > table->policy.owners) {
            entry.successor = entry.owners.back();
            entry.owners.pop_back();
        }
        const ServiceOwners *const earlier = before.owners(table->id);
        const bool isUnchanged = earlier != nullptr && earlier->owners == entry.owners;
        entry.changedAt = isUnchanged ? earlier->changedAt : now;
    }
}

static InstanceId bestOf(
    const std::vector<InstanceId> &owners, InstanceId excluded, InstanceId best, std::uint64_t flowHash)
{
    std::uint64_t highest = best == InstanceId{} ? 0 : hashWords(flowHash, best.value);
    for (const InstanceId owner : owners) {
        if (owner == excluded) {
            continue;
        }
        if (const std::uint64_t score = hashWords(flowHash, owner.value);
            best == InstanceId{} || score > highest) {
            highest = score;
            best = owner;
        }
    }
    return best;
}

InstanceId OwnershipView::ownerOf(ServiceId service, std::uint64_t flowHash) const
{
    if (service >= m_services.size()) {
        return {};
    }
    const std::vector<InstanceId> &owners = m_services[service].owners;
    return owners.size() == 1 ? owners.front() : bestOf(owners, {}, {}, flowHash);
}

InstanceId OwnershipView::backupOf(ServiceId service, std::uint64_t flowHash) const
{
    if (service >= m_services.size()) {
        return {};
    }
    const ServiceOwners &entry = m_services[service];
    return bestOf(entry.owners, ownerOf(service, flowHash), entry.successor, flowHash);
}

TimePoint OwnershipView::ownersChangedAt(ServiceId service) const
{
    return service < m_services.size() ? m_services[service].changedAt : TimePoint{};
}

} // namespace jasminequay
