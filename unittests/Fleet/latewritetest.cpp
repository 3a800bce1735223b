// Late writes of entries, at a fleet whose instances learn them in different ways: from the store's changes,
// from complete reads and from peers.
#include "fakecluster.h"

#include <gtest/gtest.h>

namespace jasminequay::fleet
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Six instances that know the running start of a target. Its earlier start has ended.
class LateWrites : public testing::Test
{
protected:
    LateWrites()
        : cluster({6, 2})
    {
        cluster.run(seconds(6));
        earlier = cluster.store.readAll().update.targets.front();
        running = earlier;
        running.identity.startedAt = 700;
        cluster.store.put(running);
        cluster.run(seconds(3));
    }

    /// Returns the number of instances that list a start.
    [[nodiscard]] std::size_t countListing(const TargetRecord &start) const
    {
        const std::uint64_t key = start.identity.key();
        return static_cast<std::size_t>(
            std::count_if(cluster.members.begin(), cluster.members.end(), [key](const FakeMember &member) {
                const KnownTarget *const target = member.engine->targets().find(key);
                return target != nullptr && target->presence == TargetPresence::Listed;
            }));
    }

    FakeCluster cluster;
    TargetRecord earlier;
    TargetRecord running;
};

/// Guards against a late heartbeat of an earlier start that ends the running one on one of the ways by which
/// instances learn of it (docs/incidents/14.md).
TEST_F(LateWrites, OfAnEarlierStartEndNothingHoweverTheyAreLearnt)
{
    cluster.store.put(earlier);
    cluster.run(milliseconds(300));
    EXPECT_EQ(countListing(running), 6U) << "from changes";
    cluster.store.forgetHistory();
    cluster.store.faults.areWatchesSilent = true;
    cluster.run(seconds(2));
    cluster.store.faults.areWatchesSilent = false;
    cluster.run(seconds(1));
    EXPECT_EQ(countListing(running), 6U) << "from complete reads";
    for (const std::size_t number : {1U, 4U}) {
        cluster.cutStore(number);
        cluster.start(number);
    }
    cluster.run(seconds(2));
    EXPECT_EQ(countListing(running), 6U) << "from peers";
    cluster.store.put(running);
    for (const std::size_t number : {1U, 4U}) {
        cluster.cutStore(number, false);
    }
    cluster.run(seconds(12));
    EXPECT_EQ(countListing(running), 6U) << "after its heartbeat";
    EXPECT_EQ(countListing(earlier), 0U);
}

/// Guards against two instances that list different starts for good: once the entry of the start with the
/// earlier time has stood for long enough, all of them believe it.
TEST_F(LateWrites, ThatStandAreBelievedByAllInstances)
{
    cluster.store.put(earlier);
    cluster.run(seconds(1));
    for (const std::size_t number : {1U, 4U}) {
        cluster.start(number);
    }
    cluster.run(seconds(14));
    EXPECT_EQ(countListing(earlier), 6U);
    EXPECT_EQ(countListing(running), 0U);
}

} // namespace jasminequay::fleet
