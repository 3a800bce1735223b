// Tests that evacuations reach all instances within their bound while instances, links and the store fail.
#include "fakecluster.h"

#include <gtest/gtest.h>

namespace jasminequay::fleet
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Within this time an evacuation keeps new flows away, and as long as its settings bound.
constexpr Duration EvacuationBound = seconds(5);

/// Nine instances in three data centres that know each other.
class FleetEvacuation : public testing::Test
{
protected:
    FleetEvacuation()
        : cluster({9, 3, 18, EvacuationBound})
    {
        cluster.run(seconds(8));
    }

    /// Returns how long it takes until all running instances know that a data centre is evacuated, or that it
    /// is not.
    std::optional<Duration> timeUntil(bool isEvacuated, Duration most = EvacuationBound)
    {
        return cluster.runUntil([&]() { return cluster.isEvacuatedEverywhere("dc-1", isEvacuated); }, most);
    }

    FakeCluster cluster;
};

TEST_F(FleetEvacuation, ItBeginsAndEndsEverywhere)
{
    cluster.store.evacuate("dc-1");
    const std::optional<Duration> begun = timeUntil(true);
    ASSERT_TRUE(begun);
    EXPECT_LE(*begun, milliseconds(400));
    cluster.run(seconds(2));
    cluster.store.endEvacuation("dc-1");
    EXPECT_TRUE(timeUntil(false));
}

/// Guards against an entry that is known only to a reader that is paused, or that dies, before it passes it
/// on. The offsets vary how far it has come.
TEST_F(FleetEvacuation, AReaderThatIsPausedBeforeItPassesTheEntryOn)
{
    for (int offset = 0; offset <= 30; offset += 5) {
        cluster.store.evacuate("dc-1");
        cluster.run(milliseconds(offset));
        const std::vector<std::size_t> readers = cluster.readers();
        for (const std::size_t reader : readers) {
            cluster.members[reader].isFrozen = true;
        }
        EXPECT_TRUE(timeUntil(true)) << offset;
        cluster.store.endEvacuation("dc-1");
        EXPECT_TRUE(timeUntil(false)) << offset;
        for (const std::size_t reader : readers) {
            cluster.members[reader].isFrozen = false;
        }
        // What the paused readers know is older, and must not start the evacuation again.
        EXPECT_TRUE(timeUntil(false)) << offset;
        for (int round = 0; round < 300; ++round) {
            cluster.run(milliseconds(10));
            EXPECT_TRUE(round < 100 || cluster.isEvacuatedEverywhere("dc-1", false)) << offset;
        }
    }
}

/// Guards against an instance that starts during an evacuation, and learns the targets from peers alone.
TEST_F(FleetEvacuation, AnInstanceThatJoinsKnowsIt)
{
    cluster.store.evacuate("dc-1");
    ASSERT_TRUE(timeUntil(true));
    cluster.run(seconds(2));
    for (const bool isStoreDown : {false, true}) {
        cluster.store.faults.isDown = isStoreDown;
        cluster.kill(4);
        cluster.start(4);
        ASSERT_TRUE(cluster.runUntil([&]() { return cluster.members[4].control->isLoaded(); }, seconds(2)));
        EXPECT_TRUE(cluster.isEvacuatedEverywhere("dc-1")) << "store down: " << isStoreDown;
    }
}

/// Guards against a stale first read that still has an entry whose end is known to the peers, or lacks one.
TEST_F(FleetEvacuation, AStaleFirstReadIsCorrected)
{
    cluster.store.evacuate("dc-1");
    ASSERT_TRUE(timeUntil(true));
    cluster.store.setStaleAnswer();
    cluster.store.endEvacuation("dc-1");
    cluster.store.evacuate("dc-2");
    ASSERT_TRUE(timeUntil(false));
    cluster.kill(4);
    cluster.start(4);
    cluster.run(seconds(2));
    EXPECT_TRUE(cluster.isEvacuatedEverywhere("dc-1", false));
    EXPECT_TRUE(cluster.isEvacuatedEverywhere("dc-2"));
}

/// Guards against an evacuation that is lost with the readers: all of them die as it is written.
TEST_F(FleetEvacuation, TheNextInstancesTakeOver)
{
    for (const std::size_t reader : cluster.readers()) {
        cluster.kill(reader);
    }
    cluster.store.evacuate("dc-1");
    EXPECT_TRUE(timeUntil(true));
}

/// Guards against a data centre that the store turns away altogether: others relay what they read.
TEST_F(FleetEvacuation, ADataCentreWithoutTheStoreLearnsItFromTheOthers)
{
    for (std::size_t number = 0; number < cluster.members.size(); number += 3) {
        cluster.cutStore(number);
    }
    cluster.store.evacuate("dc-1");
    EXPECT_TRUE(timeUntil(true));
    cluster.run(seconds(3));
    cluster.store.endEvacuation("dc-1");
    EXPECT_TRUE(timeUntil(false));
}

/// Guards against missing what was written or removed while the store did not answer. Its history may be gone
/// when it comes back.
TEST_F(FleetEvacuation, TheStoreIsAwayWhenTheEntryIsWrittenOrRemoved)
{
    for (const bool isHistoryLost : {false, true}) {
        for (const bool isBegun : {true, false}) {
            cluster.store.faults.isDown = true;
            cluster.run(seconds(3));
            isBegun ? cluster.store.evacuate("dc-1") : cluster.store.endEvacuation("dc-1");
            if (isHistoryLost) {
                cluster.store.forgetHistory();
            }
            cluster.run(seconds(3));
            EXPECT_TRUE(cluster.isEvacuatedEverywhere("dc-1", !isBegun));
            cluster.store.faults.isDown = false;
            EXPECT_TRUE(timeUntil(isBegun)) << "history lost: " << isHistoryLost << ", begun: " << isBegun;
        }
    }
}

/// Guards against the end of an entry hiding the new one written right after it, and the other way round.
TEST_F(FleetEvacuation, ARemovalAndANewEntryInQuickSuccession)
{
    for (int gap = 0; gap <= 40; gap += 5) {
        cluster.store.evacuate("dc-1");
        cluster.run(milliseconds(gap));
        cluster.store.endEvacuation("dc-1");
        cluster.run(milliseconds(gap));
        cluster.store.evacuate("dc-1");
        EXPECT_TRUE(timeUntil(true));
        cluster.run(seconds(1));
        EXPECT_TRUE(cluster.isEvacuatedEverywhere("dc-1")) << gap;
        cluster.store.endEvacuation("dc-1");
        cluster.run(milliseconds(gap));
        cluster.store.evacuate("dc-1");
        cluster.run(milliseconds(gap));
        cluster.store.endEvacuation("dc-1");
        cluster.run(seconds(1));
        EXPECT_TRUE(cluster.isEvacuatedEverywhere("dc-1", false)) << gap;
    }
}

/// Guards against exceeding the bound in a large fleet whose store hides the entry from waiting reads for a
/// second, while the readers die. The offsets vary where in the wait of a read it is written.
TEST(FleetEvacuationLarge, ItIsKnownWithinTheBoundThoughTheStoreHidesItAndReadersDie)
{
    for (int offset = 0; offset < 1600; offset += 400) {
        FakeCluster cluster({68, 3, 150, EvacuationBound});
        cluster.run(seconds(8) + milliseconds(offset));
        cluster.store.faults.areWatchesSilent = true;
        cluster.store.evacuate("dc-1");
        for (const std::size_t reader : cluster.readers()) {
            cluster.kill(reader);
        }
        cluster.run(seconds(1));
        cluster.store.faults.areWatchesSilent = false;
        EXPECT_TRUE(cluster.runUntil(
            [&]() { return cluster.isEvacuatedEverywhere("dc-1"); }, EvacuationBound - seconds(1)))
            << offset;
    }
}

/// Guards against a reader of an older version that raises the revision of the targets at its peers without
/// telling them of evacuations: they would never read them.
TEST(FleetEvacuationMixed, ReadersOfAnOlderVersionHideNothing)
{
    FakeCluster cluster({9, 3, 18, EvacuationBound});
    cluster.run(seconds(8));
    for (const std::size_t reader : cluster.readers()) {
        cluster.kill(reader);
        cluster.makeOlder(reader);
        cluster.start(reader);
    }
    cluster.run(seconds(8));
    for (const bool isBegun : {true, false}) {
        isBegun ? cluster.store.evacuate("dc-1") : cluster.store.endEvacuation("dc-1");
        TargetRecord record = cluster.store.readAll().update.targets.front();
        cluster.store.put(record);
        EXPECT_TRUE(cluster.runUntil(
            [&]() { return cluster.isEvacuatedEverywhere("dc-1", isBegun); }, EvacuationBound))
            << isBegun;
        cluster.run(seconds(2));
    }
}

/// Guards against an instance that fetches from a peer of an older version and takes the table for complete.
TEST(FleetEvacuationMixed, AJoinerAmongOlderInstancesReadsTheStore)
{
    FakeCluster cluster({4, 1, 18, EvacuationBound});
    for (const std::size_t number : {0U, 1U, 2U}) {
        cluster.kill(number);
        cluster.makeOlder(number);
        cluster.start(number);
    }
    cluster.run(seconds(8));
    cluster.store.evacuate("dc-0");
    cluster.run(seconds(1));
    cluster.kill(3);
    cluster.store.faults.refused = {3};
    cluster.start(3);
    cluster.run(seconds(2));
    ASSERT_TRUE(cluster.members[3].control->isLoaded());
    cluster.store.faults.refused.clear();
    EXPECT_TRUE(cluster.runUntil([&]() { return cluster.isEvacuatedEverywhere("dc-0"); }, EvacuationBound));
}

} // namespace jasminequay::fleet
