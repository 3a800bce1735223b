// The policies by which the owner of a new flow selects its target.
#pragma once

#include "jasminequay/Placement/servicetable.h"

#include <concepts>

namespace jasminequay
{

/// A policy that selects a target for a new flow; null if no target accepts it.
template <typename Policy>
concept SelectionPolicy
    = requires(const Policy policy, const ServiceTable &table, std::uint64_t flowHash, TimePoint now)
{
    {
        policy.select(table, flowHash, now)
        } -> std::same_as<const TargetEntry *>;
};

/// Selects the first target in the rendezvous order that accepts new flows.
struct HashSelection {
    [[nodiscard]] const TargetEntry *select(
        const ServiceTable &table, std::uint64_t flowHash, TimePoint now) const;
};

/// Selects the first target in the rendezvous order whose load stays within the bound, else the least loaded.
/// Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018.
struct BoundedSelection {
    [[nodiscard]] const TargetEntry *select(
        const ServiceTable &table, std::uint64_t flowHash, TimePoint now) const;
};

/// Selects the target with the lowest load per weight; a hash of the flow and the target breaks ties.
struct LeastSelection {
    [[nodiscard]] const TargetEntry *select(
        const ServiceTable &table, std::uint64_t flowHash, TimePoint now) const;
};

static_assert(
    SelectionPolicy<HashSelection> && SelectionPolicy<BoundedSelection> && SelectionPolicy<LeastSelection>);

/// Tells whether a target accepts a new flow now: it is neither draining nor quarantined, is below its
/// connection limit and does not shed load.
bool maySelect(const TargetEntry &target, TimePoint now);

/// Returns the current weight of a target: that of a cold target grows from a tenth to its full weight during
/// slow start.
double currentWeight(const TargetEntry &target, Duration slowStart, TimePoint now);

/// Selects a target by the placement policy of the service.
const TargetEntry *selectTarget(const ServiceTable &table, std::uint64_t flowHash, TimePoint now);

} // namespace jasminequay
