// The part of the target directory that handles addresses which more than one target publishes.
#include "jasminequay/Steering/targetdirectory.h"

#include <algorithm>
#include <tuple>

namespace jasminequay
{

/// Returns whether one of two targets that publish the same address is rather the one that has it. An entry
/// that stands is a stronger claim than a missing one, and a later start than an earlier one. Times of
/// different machines may differ, so the claim only selects who gets new flows.
static bool hasStrongerClaim(const KnownTarget &left, const KnownTarget &right)
{
    const auto claimOf = [](const KnownTarget &target) {
        const bool isListed = target.presence == TargetPresence::Listed;
        return std::tuple(isListed, target.record.identity.startedAt, target.record.revision, target.key);
    };
    return claimOf(left) > claimOf(right);
}

/// Records that a target publishes its address.
void TargetDirectory::claimAddress(const KnownTarget &target)
{
    m_byAddress[target.record.address.packed()].push_back(target.key);
}

/// Forgets that a target publishes its address.
void TargetDirectory::releaseAddress(const KnownTarget &target)
{
    const Endpoint address = target.record.address;
    const auto found = m_byAddress.find(address.packed());
    if (found == m_byAddress.end() || std::erase(found->second, target.key) == 0) {
        return;
    }
    if (found->second.empty()) {
        m_byAddress.erase(found);
    } else {
        assignAddress(address);
    }
}

/// Determines which of the targets at an address gets new flows. The others are displaced but not ended: the
/// entry of the one that has it may be a late write, so what ends them is their own silence or a missing
/// entry. Entries of services that the configuration does not name do not prove who has the address.
void TargetDirectory::assignAddress(Endpoint address)
{
    const auto found = m_byAddress.find(address.packed());
    if (found == m_byAddress.end()) {
        return;
    }
    const KnownTarget *holder = nullptr;
    for (const std::uint64_t key : found->second) {
        const KnownTarget &target = m_targets.at(key);
        const bool isClaiming
            = target.presence != TargetPresence::Gone && m_services.contains(target.record.service);
        if (isClaiming && (holder == nullptr || hasStrongerClaim(target, *holder))) {
            holder = &target;
        }
    }
    for (const std::uint64_t key : found->second) {
        KnownTarget &target = m_targets.at(key);
        const bool isDisplaced = holder != nullptr && key != holder->key;
        m_areIndexesStale = m_areIndexesStale || isDisplaced != target.isDisplaced;
        target.isDisplaced = isDisplaced;
    }
}

} // namespace jasminequay
