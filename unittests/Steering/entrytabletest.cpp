// Tests of the table of what the store holds.
#include "jasminequay/Steering/entrytable.h"

#include "steeringfixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

namespace jasminequay::steering
{

using std::chrono::seconds;

static std::vector<std::pair<std::string, StoreRevision>> standingIn(const EntryTable &table)
{
    std::vector<std::pair<std::string, StoreRevision>> standing;
    table.forEach([&](const TargetRecord &record) { standing.emplace_back(record.name, record.revision); });
    return standing;
}

static std::vector<std::pair<std::string, StoreRevision>> removalsIn(const EntryTable &table)
{
    std::vector<std::pair<std::string, StoreRevision>> removals;
    for (const TargetRemoval &removal : table.removalsAfter(0)) {
        removals.emplace_back(removal.name, removal.revision);
    }
    return removals;
}

/// Guards against two instances that believe the store to hold different things because they heard of the
/// same entries and removals in different orders.
RC_GTEST_PROP(EntryTable, HoldsTheSameInWhateverOrderItIsTold, (std::uint64_t seed))
{
    constexpr std::uint32_t Names = 4;
    constexpr StoreRevision Changes = 24;
    std::mt19937_64 random(seed);
    std::vector<std::pair<TargetRecord, bool>> changes;
    for (StoreRevision revision = 1; revision <= Changes; ++revision) {
        changes.emplace_back(targetOf(random() % Names, revision), random() % 3 == 0);
    }
    const auto tableOf = [&]() {
        EntryTable table;
        for (const auto &[record, isRemoval] : changes) {
            if (isRemoval) {
                table.remove(record.name, record.revision, Start);
            } else {
                table.put(record);
            }
        }
        return table;
    };
    const EntryTable inOrder = tableOf();
    std::shuffle(changes.begin(), changes.end(), random);
    const EntryTable shuffled = tableOf();
    RC_ASSERT(standingIn(shuffled) == standingIn(inOrder));
    RC_ASSERT(removalsIn(shuffled) == removalsIn(inOrder));
}

/// Guards against removals that are kept for good, and against a peer that is not told that they are
/// forgotten.
TEST(EntryTable, ForgetsRemovalsAndSaysSo)
{
    EntryTable table;
    table.put(targetOf(0, 1));
    table.put(targetOf(1, 2));
    table.remove("i-0", 3, Start);
    table.remove("i-1", 4, Start + seconds(1));
    table.put(targetOf(1, 5));
    table.forgetRemovals(Start);
    EXPECT_EQ(table.removalsKnownSince(), 3U);
    EXPECT_TRUE(table.removalsAfter(0).empty());
    table.forgetRemovals(Start + seconds(1));
    EXPECT_EQ(table.removalsKnownSince(), 3U) << "the entry is back";
    EXPECT_NE(table.find("i-1"), nullptr);
    EXPECT_FALSE(table.put(targetOf(1, 4))) << "it is older than the removal";
}

/// Guards against unbounded memory for removals of entries that were never known.
TEST(EntryTable, RecordsABoundedNumberOfRemovals)
{
    EntryTable table;
    for (StoreRevision revision = 1; revision <= EntryTable::MaximumRemovals + 5; ++revision) {
        table.remove("x-" + std::to_string(revision), revision, Start);
    }
    EXPECT_EQ(table.removalsAfter(0).size(), EntryTable::MaximumRemovals);
    EXPECT_EQ(table.removalsKnownSince(), EntryTable::MaximumRemovals + 5);
}

} // namespace jasminequay::steering
