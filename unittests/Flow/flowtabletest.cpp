#include "jasminequay/Flow/flowtable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace jasminequay
{

/// The table and a reference map have the same contents after any sequence of inserts and erases.
RC_GTEST_PROP(FlowTable, MatchesAReferenceMap, ())
{
    FlowTable table(64);
    std::map<std::uint64_t, TargetId> model;
    const auto steps = *rc::gen::container<std::vector<std::pair<bool, std::uint8_t>>>(
        600, rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::inRange<std::uint8_t>(0, 100)));
    TargetId next = 1;
    for (const auto &[inserts, number] : steps) {
        const FlowKey key{number * 0x10001ULL};
        FlowEntry *const found = table.find(key);
        RC_ASSERT((found != nullptr) == model.contains(key.packed));
        RC_ASSERT((found == nullptr || found->target == model[key.packed]));
        if (inserts && found == nullptr) {
            FlowEntry *const entry = table.insert(key);
            RC_ASSERT((entry != nullptr) == (model.size() < 64));
            if (entry != nullptr) {
                entry->target = next;
                model[key.packed] = next++;
            }
        } else if (!inserts && found != nullptr) {
            table.erase(found);
            model.erase(key.packed);
        }
        RC_ASSERT(table.size() == model.size());
    }
}

/// A sweep from the highest slot to the lowest visits every entry, even if it erases entries on the way.
RC_GTEST_PROP(FlowTable, DownwardSweepMissesNoEntry, ())
{
    FlowTable table(128);
    const auto numbers = *rc::gen::unique<std::vector<std::uint16_t>>(rc::gen::arbitrary<std::uint16_t>());
    for (const std::uint16_t number : numbers) {
        table.insert({number});
    }
    const std::size_t before = table.size();
    std::map<std::uint64_t, int> seen;
    for (std::size_t slot = table.slots().size(); slot > 0; --slot) {
        FlowEntry &entry = table.slots()[slot - 1];
        if (entry.state == FlowState::Empty) {
            continue;
        }
        ++seen[entry.key.packed];
        if (entry.key.packed % 3 == 0) {
            table.erase(&entry);
        }
    }
    RC_ASSERT(seen.size() == before);
}

} // namespace jasminequay
