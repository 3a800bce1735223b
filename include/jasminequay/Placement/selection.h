// The policies by which the owner of a new flow selects its target.
#pragma once

#include "jasminequay/Placement/servicetable.h"

#include <concepts>

namespace jasminequay
{

/// A policy that selects a target for a new flow; null where none may take it.
template <typename Policy>
concept SelectionPolicy
    = requires(const Policy policy, const ServiceTable &table, std::uint64_t flowHash, TimePoint now)
{
    {
        policy.select(table, flowHash, now)
        } -> std::same_as<const TargetEntry *>;
};

/// Selects the first of the rendezvous order that may take a flow.
struct HashSelection {
    [[nodiscard]] const TargetEntry *select(
        const ServiceTable &table, std::uint64_t flowHash, TimePoint now) const;
};

/// Selects the first of the rendezvous order whose load stays under the bound, else the least loaded.
/// Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018.
struct BoundedSelection {
    [[nodiscard]] const TargetEntry *select(
        const ServiceTable &table, std::uint64_t flowHash, TimePoint now) const;
};

/// Selects the target with the least load for its weight; the rendezvous order breaks ties.
struct LeastSelection {
    [[nodiscard]] const TargetEntry *select(
        const ServiceTable &table, std::uint64_t flowHash, TimePoint now) const;
};

static_assert(
    SelectionPolicy<HashSelection> && SelectionPolicy<BoundedSelection> && SelectionPolicy<LeastSelection>);

/// Tells whether a target may take a new flow now: it serves, is under its limit and does not shed load.
bool maySelect(const TargetEntry &target, TimePoint now);

/// Returns the weight of a target now: a cold one grows from a tenth to its whole weight during slow start.
double currentWeight(const TargetEntry &target, Duration slowStart, TimePoint now);

/// Selects by the policy that the settings of the service name.
const TargetEntry *selectTarget(const ServiceTable &table, std::uint64_t flowHash, TimePoint now);

} // namespace jasminequay
