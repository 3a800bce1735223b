#include "jasminequay/Placement/servicetable.h"

#include "jasminequay/Placement/rendezvous.h"

namespace jasminequay
{

const TargetEntry *ServiceTable::target(TargetId targetId) const
{
    for (const TargetEntry &entry : targets) {
        if (entry.id == targetId) {
            return &entry;
        }
    }
    return nullptr;
}

/// Returns the first target in the rendezvous order that the predicate admits; null if there is none.
template <typename Predicate>
static const TargetEntry *highestScored(const ServiceTable &table, std::uint64_t flowHash, Predicate admits)
{
    const TargetEntry *first = nullptr;
    double highest = -1;
    for (const TargetEntry &target : table.targets) {
        if (!admits(target)) {
            continue;
        }
        if (const double score = rendezvousScore(flowHash, target.hash, target.settings.weight);
            score > highest) {
            highest = score;
            first = &target;
        }
    }
    return first;
}

const TargetEntry *ServiceTable::recoveryTarget(std::uint64_t flowHash) const
{
    return highestScored(*this, flowHash, [](const TargetEntry &target) { return !target.isQuarantined; });
}

const TargetEntry *ServiceTable::preferredTarget(std::uint64_t flowHash) const
{
    return highestScored(*this, flowHash, [](const TargetEntry &target) {
        return !target.isQuarantined && target.settings.state != TargetState::Draining;
    });
}

bool ServiceTable::conflictsWithPrevious(std::uint64_t flowHash) const
{
    const TargetEntry *const choice = preferredTarget(flowHash);
    for (const ServiceTable *table = previous.get(); table != nullptr; table = table->previous.get()) {
        const TargetEntry *const earlier = table->preferredTarget(flowHash);
        const bool isSame = choice != nullptr && earlier != nullptr && earlier->id == choice->id;
        if (!isSame) {
            return true;
        }
    }
    return false;
}

} // namespace jasminequay
