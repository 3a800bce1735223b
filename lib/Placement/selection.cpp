#include "jasminequay/Placement/selection.h"

#include "jasminequay/Placement/rendezvous.h"
#include "jasminequay/Support/hash.h"

#include <algorithm>
#include <cmath>

namespace jasminequay
{

/// The share of its weight with which a cold target starts.
constexpr double ColdShare = 0.1;

bool maySelect(const TargetEntry &target, TimePoint now)
{
    const bool isServing = target.settings.state != TargetState::Draining && !target.isQuarantined;
    return isServing && target.load->outstanding() < target.settings.connectionLimit
        && !target.load->isShedding(now);
}

double currentWeight(const TargetEntry &target, Duration slowStart, TimePoint now)
{
    if (target.settings.state != TargetState::Cold) {
        return target.settings.weight;
    }
    const double elapsed = static_cast<double>((now - target.coldSince).count());
    const double share = std::clamp(elapsed / static_cast<double>(slowStart.count()), ColdShare, 1.0);
    return target.settings.weight * share;
}

namespace
{

/// The sums over the targets that accept new flows.
struct ServiceTotals {
    double weight = 0;
    double load = 0;
};

} // namespace

static ServiceTotals totalsOf(const ServiceTable &table, TimePoint now)
{
    ServiceTotals totals;
    for (const TargetEntry &target : table.targets) {
        if (maySelect(target, now)) {
            totals.weight += currentWeight(target, table.policy.slowStart, now);
            totals.load += target.load->effectiveCount(target.settings.slots, now);
        }
    }
    return totals;
}

/// Returns the target with the highest rank among those that accept new flows; null if there is none.
template <typename Rank>
static const TargetEntry *highestRanked(const ServiceTable &table, TimePoint now, Rank rankOf)
{
    const TargetEntry *best = nullptr;
    double highest = 0;
    for (const TargetEntry &target : table.targets) {
        if (!maySelect(target, now)) {
            continue;
        }
        if (const double rank = rankOf(target); best == nullptr || rank > highest) {
            highest = rank;
            best = &target;
        }
    }
    return best;
}

const TargetEntry *HashSelection::select(
    const ServiceTable &table, std::uint64_t flowHash, TimePoint now) const
{
    return highestRanked(table, now, [&](const TargetEntry &target) {
        return rendezvousScore(flowHash, target.hash, currentWeight(target, table.policy.slowStart, now));
    });
}

const TargetEntry *LeastSelection::select(
    const ServiceTable &table, std::uint64_t flowHash, TimePoint now) const
{
    return highestRanked(table, now, [&](const TargetEntry &target) {
        const double weight = currentWeight(target, table.policy.slowStart, now);
        const double load = (target.load->effectiveCount(target.settings.slots, now) + 1) / weight;
        // The tie-break is much smaller than the load of one flow.
        const double tieBreak = static_cast<double>(hashWords(flowHash, target.hash) >> 32) * 1e-15;
        return tieBreak - load;
    });
}

const TargetEntry *BoundedSelection::select(
    const ServiceTable &table, std::uint64_t flowHash, TimePoint now) const
{
    const ServiceTotals totals = totalsOf(table, now);
    const TargetEntry *best = nullptr;
    double highest = -1;
    for (const TargetEntry &target : table.targets) {
        if (!maySelect(target, now)) {
            continue;
        }
        const double weight = currentWeight(target, table.policy.slowStart, now);
        const double capacity = std::ceil(table.policy.bound * (totals.load + 1) * weight / totals.weight);
        if (target.load->effectiveCount(target.settings.slots, now) + 1 > capacity) {
            continue;
        }
        if (const double score = rendezvousScore(flowHash, target.hash, weight); score > highest) {
            highest = score;
            best = &target;
        }
    }
    return best != nullptr ? best : LeastSelection{}.select(table, flowHash, now);
}

const TargetEntry *selectTarget(const ServiceTable &table, std::uint64_t flowHash, TimePoint now)
{
    switch (table.policy.placement) {
    case PlacementPolicy::Hash:
        return HashSelection{}.select(table, flowHash, now);
    case PlacementPolicy::Bounded:
        return BoundedSelection{}.select(table, flowHash, now);
    case PlacementPolicy::Least:
        return LeastSelection{}.select(table, flowHash, now);
    }
    return nullptr;
}

} // namespace jasminequay
