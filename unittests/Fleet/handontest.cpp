// Tests the propagation of changes between instances, with the real decision libraries and injected time.
#include "fakecluster.h"

#include <gtest/gtest.h>

namespace jasminequay::fleet
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Guards against a removed target staying listed: an instance is paused during the removal, and all
/// instances that saw the removal restart and cannot name it any more.
TEST(Fleet, AMissedRemovalIsLearntFromPeersThatStartedAfterIt)
{
    FakeCluster cluster({3, 1, 12});
    cluster.run(seconds(6));
    cluster.members[0].isFrozen = true;
    cluster.store.remove("i-4");
    cluster.run(seconds(1));
    for (const std::size_t number : {1U, 2U}) {
        cluster.kill(number);
        cluster.start(number);
    }
    cluster.run(seconds(2));
    cluster.cutStore(0);
    cluster.members[0].isFrozen = false;
    cluster.run(seconds(6));
    EXPECT_EQ(cluster.members[0].control->revision(), cluster.store.revision());
    EXPECT_EQ(cluster.members[0].engine->targets().listedCount(), 11U);
}

/// Guards against one instance having to send changed routes to all others of a large data centre.
TEST(Fleet, RoutesPropagateAlongATree)
{
    FakeCluster cluster({83, 1, 150});
    cluster.run(seconds(8));
    cluster.fetchesServed.clear();
    const std::optional<Duration> taken = timeToPropagate(cluster);
    ASSERT_TRUE(taken);
    EXPECT_LT(*taken, milliseconds(300));
    cluster.run(seconds(2));
    // 24 fetches of 10 KB for a change every 129 s take 1.9 KB/s of the 9 KB/s budget for control traffic.
    constexpr std::uint64_t MostFetches = 24;
    for (const auto &[number, fetches] : cluster.fetchesServed) {
        EXPECT_LE(fetches, MostFetches) << "by " << number;
    }
}

TEST(Fleet, ADeadParentInTheTreeDelaysOthersOnlyBriefly)
{
    FakeCluster cluster({83, 1, 150});
    cluster.run(seconds(8));
    // A third of the instances, but not the reader, die at the moment of the change; others fetch from some
    // of them.
    const std::vector<std::size_t> readers = cluster.readers();
    for (std::size_t number = 0; number < 83; number += 3) {
        if (number != readers.front()) {
            cluster.kill(number);
        }
    }
    const std::optional<Duration> taken = timeToPropagate(cluster);
    ASSERT_TRUE(taken);
    EXPECT_LT(*taken, seconds(1));
}

TEST(Fleet, ManyChangesAtOnceReachAllInstances)
{
    FakeCluster cluster({75, 5});
    cluster.run(seconds(8));
    for (int round = 0; round < 20; ++round) {
        cluster.store.changeRoutes();
        for (TargetRecord record : cluster.store.readAll().update.targets) {
            record.slots = static_cast<std::uint32_t>(round);
            cluster.store.put(record);
        }
        cluster.run(milliseconds(50));
    }
    EXPECT_TRUE(cluster.runUntil([&]() { return cluster.isInForceEverywhere(); }, seconds(1)));
    cluster.run(seconds(2));
    for (const FakeMember &member : cluster.members) {
        EXPECT_EQ(member.control->revision(), cluster.store.revision());
    }
    EXPECT_EQ(cluster.versionRegressions, 0U);
}

/// Guards against complete lists being fetched while many targets of a large service are released one after
/// another, as happened in a fleet of 300 instances.
TEST(Fleet, ABurstOfChangesPropagatesWithoutFetchingKnownTargets)
{
    FakeCluster cluster({75, 5, 400});
    cluster.run(seconds(6));
    const std::uint64_t fetchedBefore = cluster.fetchedTargets;
    const std::uint64_t callsBefore = cluster.store.calls;
    std::vector<TargetRecord> records = cluster.store.readAll().update.targets;
    for (std::size_t number = 0; number < 200; ++number) {
        records[number].isDraining = true;
        cluster.store.put(records[number]);
        cluster.run(milliseconds(10));
    }
    EXPECT_TRUE(cluster.runUntil([&]() { return cluster.isKnownDraining(records[199]); }, seconds(1)));
    cluster.run(seconds(1));
    for (const FakeMember &member : cluster.members) {
        EXPECT_EQ(member.control->revision(), cluster.store.revision());
    }
    // Complete lists would be 400 entries per instance and burst.
    EXPECT_LT(cluster.fetchedTargets - fetchedBefore, 75U * 200U);
    // Two seconds of changes with a read every 100 ms in five data centres, and the second without changes.
    EXPECT_LE(cluster.store.calls - callsBefore, 5U * 35U);
}

} // namespace jasminequay::fleet
