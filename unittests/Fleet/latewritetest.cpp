// Late writes of entries, at a fleet whose instances learn them in different ways: from the store's changes,
// from complete reads and from peers.
#include "fakecluster.h"

#include <gtest/gtest.h>

namespace jasminequay::fleet
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns the number of instances at which a start of a target has this presence.
static std::size_t countWith(FakeCluster &cluster, const TargetIdentity &start, TargetPresence presence)
{
    return static_cast<std::size_t>(
        std::count_if(cluster.members.begin(), cluster.members.end(), [&](const FakeMember &member) {
            const KnownTarget *const target = member.engine->targets().find(start.key());
            return target != nullptr && target->presence == presence;
        }));
}

/// Guards against a late heartbeat of an earlier start that ends the running one on one of the ways by which
/// instances learn of it (docs/incidents/14.md).
TEST(LateWrites, OfAnEarlierStartEndNothingHoweverTheyAreLearnt)
{
    FakeCluster cluster({6, 2});
    cluster.run(seconds(6));
    const TargetRecord earlier = cluster.store.readAll().update.targets.front();
    TargetRecord running = earlier;
    running.identity.startedAt = 700;
    cluster.store.put(running);
    cluster.run(seconds(3));
    cluster.store.put(earlier);
    cluster.run(milliseconds(300));
    EXPECT_EQ(countWith(cluster, running.identity, TargetPresence::Listed), 6U) << "from changes";
    cluster.store.forgetHistory();
    cluster.store.faults.areWatchesSilent = true;
    cluster.run(seconds(2));
    cluster.store.faults.areWatchesSilent = false;
    cluster.run(seconds(1));
    EXPECT_EQ(countWith(cluster, running.identity, TargetPresence::Listed), 6U) << "from complete reads";
    for (const std::size_t number : {1U, 4U}) {
        cluster.cutStore(number);
        cluster.start(number);
    }
    cluster.run(seconds(2));
    EXPECT_EQ(countWith(cluster, running.identity, TargetPresence::Listed), 6U) << "from peers";
    cluster.store.put(running);
    for (const std::size_t number : {1U, 4U}) {
        cluster.cutStore(number, false);
    }
    cluster.run(seconds(12));
    EXPECT_EQ(countWith(cluster, running.identity, TargetPresence::Listed), 6U) << "after its heartbeat";
    EXPECT_EQ(countWith(cluster, earlier.identity, TargetPresence::Listed), 0U);
}

/// Guards against two instances that list different starts for good: once the entry of the start with the
/// earlier time has stood for long enough, all of them believe it.
TEST(LateWrites, ThatStandAreBelievedByAllInstances)
{
    FakeCluster cluster({6, 2});
    cluster.run(seconds(6));
    const TargetRecord earlier = cluster.store.readAll().update.targets.front();
    TargetRecord running = earlier;
    running.identity.startedAt = 700;
    cluster.store.put(running);
    cluster.run(seconds(3));
    cluster.store.put(earlier);
    cluster.run(seconds(1));
    for (const std::size_t number : {1U, 4U}) {
        cluster.start(number);
    }
    cluster.run(seconds(14));
    EXPECT_EQ(countWith(cluster, earlier.identity, TargetPresence::Listed), 6U);
    EXPECT_EQ(countWith(cluster, running.identity, TargetPresence::Listed), 0U);
}

} // namespace jasminequay::fleet
