// Tests of a fleet whose store is restored from an older copy, while instances, links and the store fail.
#include "fakecluster.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace jasminequay::fleet
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration RestoreBound = seconds(5);

/// Nine instances in three data centres whose store has made a copy two seconds ago.
class FleetRestore : public testing::Test
{
protected:
    FleetRestore()
        : cluster({9, 3, 18, RestoreBound})
    {
        cluster.run(seconds(8));
        cluster.store.makeCopy();
        cluster.run(seconds(2));
    }

    /// Tells whether all running instances know the newest revision.
    [[nodiscard]] bool areAllCurrent() const
    {
        for (std::size_t number = 0; number < cluster.members.size(); ++number) {
            if (cluster.isRunning(number)
                && cluster.members[number].control->revision() != cluster.store.revision()) {
                return false;
            }
        }
        return true;
    }

    std::optional<Duration> timeUntilCurrent(Duration most = RestoreBound)
    {
        return cluster.runUntil([&]() { return areAllCurrent(); }, most);
    }

    /// Returns how many running instances know a target with a presence.
    [[nodiscard]] std::size_t countPresence(std::uint32_t number, TargetPresence presence) const
    {
        std::size_t count = 0;
        for (std::size_t member = 0; member < cluster.members.size(); ++member) {
            if (!cluster.isRunning(member)) {
                continue;
            }
            const KnownTarget *const target
                = cluster.members[member].engine->targets().find(recordOf(number).identity.key());
            count += target != nullptr && target->presence == presence ? 1 : 0;
        }
        return count;
    }

    static TargetRecord recordOf(std::uint32_t number)
    {
        TargetRecord record;
        record.name = "i-" + std::to_string(number);
        record.identity = {number + 1, 1};
        record.address = {{0x0a800000 + number}, 8080};
        record.service = "desk";
        record.dataCentre = "dc-" + std::to_string(number % 3);
        return record;
    }

    FakeCluster cluster;
};

/// Guards against what the store has lost: new targets stay in use while they write their entries again.
TEST_F(FleetRestore, NewTargetsStayWhileTheyReturn)
{
    cluster.store.put(recordOf(30));
    cluster.store.put(recordOf(31));
    cluster.run(seconds(1));
    cluster.store.restoreCopy();
    const std::optional<Duration> taken = timeUntilCurrent();
    ASSERT_TRUE(taken);
    EXPECT_LE(*taken, milliseconds(200));
    cluster.run(seconds(1));
    EXPECT_EQ(countPresence(30, TargetPresence::Lapsed), 9U);
    cluster.store.put(recordOf(30));
    cluster.run(seconds(3));
    EXPECT_EQ(countPresence(30, TargetPresence::Listed), 9U);
    EXPECT_EQ(countPresence(31, TargetPresence::Gone), 9U);
    EXPECT_EQ(countPresence(0, TargetPresence::Listed), 9U);
}

/// Guards against new flows to a target that had said that it drains.
TEST_F(FleetRestore, ADrainingTargetStaysDraining)
{
    TargetRecord record = recordOf(4);
    record.isDraining = true;
    cluster.store.put(record);
    cluster.run(seconds(1));
    cluster.store.restoreCopy();
    ASSERT_TRUE(timeUntilCurrent());
    for (int round = 0; round < 15; ++round) {
        EXPECT_TRUE(cluster.isKnownDraining(record)) << round;
        cluster.run(milliseconds(100));
    }
    cluster.store.put(record);
    for (int round = 0; round < 40; ++round) {
        cluster.run(milliseconds(100));
        EXPECT_TRUE(cluster.isKnownDraining(record)) << round;
    }
}

TEST_F(FleetRestore, EvacuationsStayForTheGracePeriod)
{
    cluster.store.evacuate("dc-1");
    cluster.store.evacuate("dc-2");
    cluster.run(seconds(1));
    cluster.store.restoreCopy();
    cluster.run(seconds(1));
    cluster.store.evacuate("dc-1");
    for (int round = 0; round < 10; ++round) {
        EXPECT_TRUE(cluster.isEvacuatedEverywhere("dc-1")) << round;
        EXPECT_TRUE(cluster.isEvacuatedEverywhere("dc-2")) << round;
        cluster.run(milliseconds(100));
    }
    cluster.run(seconds(2));
    EXPECT_TRUE(cluster.isEvacuatedEverywhere("dc-1"));
    EXPECT_TRUE(cluster.isEvacuatedEverywhere("dc-2", false));
}

/// Guards against an evacuation that stays for ever because the instance that saw the restore has died.
TEST_F(FleetRestore, EvacuationsEndThoughTheReaderDies)
{
    cluster.store.evacuate("dc-1");
    cluster.run(seconds(1));
    cluster.store.restoreCopy();
    cluster.run(milliseconds(300));
    for (const std::size_t reader : cluster.readers()) {
        cluster.kill(reader);
    }
    EXPECT_TRUE(cluster.runUntil([&]() { return cluster.isEvacuatedEverywhere("dc-1", false); }, seconds(4)));
}

/// Guards against routes that go back and forth: they are written again within the bound.
TEST_F(FleetRestore, RoutesThatAreWrittenAgainDoNotGoBack)
{
    cluster.store.changeRoutes();
    cluster.store.changeRoutes();
    cluster.run(seconds(1));
    const std::uint64_t before = cluster.store.routesVersion();
    cluster.store.restoreCopy();
    cluster.run(seconds(3));
    ASSERT_LT(cluster.store.routesVersion(), before);
    for (const FakeMember &member : cluster.members) {
        EXPECT_EQ(member.engine->routes().configuration().version, before);
    }
    cluster.store.changeRoutes();
    cluster.store.changeRoutes();
    EXPECT_TRUE(cluster.runUntil([&]() { return cluster.isInForceEverywhere(); }, seconds(1)));
    cluster.run(seconds(8));
    for (const FakeMember &member : cluster.members) {
        EXPECT_EQ(member.newestVersion, before);
        EXPECT_EQ(member.newestEra, 1U);
    }
    EXPECT_EQ(cluster.versionRegressions, 0U);
}

TEST_F(FleetRestore, LowerRoutesAreInForceAfterTheBound)
{
    cluster.store.changeRoutes();
    cluster.run(seconds(1));
    cluster.store.restoreCopy();
    cluster.run(seconds(4));
    EXPECT_FALSE(cluster.isInForceEverywhere());
    const std::uint64_t calls = cluster.store.calls;
    EXPECT_TRUE(cluster.runUntil([&]() { return cluster.isInForceEverywhere(); }, seconds(2)));
    EXPECT_LE(cluster.store.calls - calls, 3U * 4U) << "no complete reads while the routes wait";
    for (int round = 0; round < 50; ++round) {
        cluster.run(milliseconds(100));
        EXPECT_TRUE(cluster.isInForceEverywhere()) << "went back and forth";
    }
    cluster.store.changeRoutes();
    EXPECT_TRUE(cluster.runUntil([&]() { return cluster.isInForceEverywhere(); }, RestoreBound));
    EXPECT_EQ(cluster.versionRegressions, 0U);
}

/// Guards against lower routes that are lost with the reader that waits to put them in force.
TEST_F(FleetRestore, LowerRoutesAreInForceThoughTheReaderDies)
{
    cluster.store.changeRoutes();
    cluster.run(seconds(1));
    cluster.store.restoreCopy();
    cluster.run(seconds(2));
    for (const std::size_t reader : cluster.readers()) {
        cluster.kill(reader);
    }
    EXPECT_TRUE(cluster.runUntil([&]() { return cluster.isInForceEverywhere(); }, seconds(8)));
}

/// Guards against a data centre whose store is still the earlier one: its answers are discarded, and it
/// learns from the others.
TEST_F(FleetRestore, OneDataCentreKnowsTheEraBeforeAnother)
{
    cluster.store.put(recordOf(30));
    cluster.run(seconds(1));
    cluster.earlierStore = cluster.store;
    for (std::size_t number = 0; number < 9; number += 3) {
        cluster.readEarlierStore(number);
    }
    cluster.store.restoreCopy();
    EXPECT_TRUE(timeUntilCurrent());
    cluster.earlierStore->put(recordOf(31));
    cluster.store.put(recordOf(30));
    EXPECT_TRUE(timeUntilCurrent());
    cluster.run(seconds(4));
    EXPECT_EQ(countPresence(31, TargetPresence::Listed), 0U);
    EXPECT_EQ(countPresence(30, TargetPresence::Listed), 9U);
    for (std::size_t number = 0; number < 9; number += 3) {
        cluster.readEarlierStore(number, false);
    }
    cluster.store.put(recordOf(32));
    EXPECT_TRUE(timeUntilCurrent());
}

/// Guards against a data centre that meets the new era only after a network partition, with higher numbers of
/// the earlier one.
TEST_F(FleetRestore, ADataCentreThatWasCutOffLearnsTheEra)
{
    cluster.earlierStore = cluster.store;
    cluster.cutDataCentre(0);
    for (std::size_t number = 0; number < 9; number += 3) {
        cluster.readEarlierStore(number);
    }
    cluster.store.restoreCopy();
    for (std::uint32_t number = 40; number < 60; ++number) {
        cluster.earlierStore->put(recordOf(number));
    }
    cluster.run(seconds(3));
    cluster.cutDataCentre(0, false);
    EXPECT_TRUE(timeUntilCurrent());
    cluster.run(seconds(4));
    EXPECT_EQ(countPresence(40, TargetPresence::Listed), 0U);
}

/// Guards against an older view that a paused reader passes on when it resumes.
TEST_F(FleetRestore, AReaderThatIsPausedAcrossTheChange)
{
    for (int offset = 0; offset <= 20; offset += 5) {
        cluster.store.put(recordOf(30));
        cluster.run(milliseconds(offset));
        const std::vector<std::size_t> readers = cluster.readers();
        for (const std::size_t reader : readers) {
            cluster.members[reader].isFrozen = true;
        }
        cluster.store.restoreCopy();
        EXPECT_TRUE(timeUntilCurrent()) << offset;
        cluster.run(seconds(3));
        for (const std::size_t reader : readers) {
            cluster.members[reader].isFrozen = false;
        }
        EXPECT_TRUE(timeUntilCurrent()) << offset;
        cluster.run(seconds(4));
        EXPECT_EQ(countPresence(30, TargetPresence::Listed), 0U) << offset;
        EXPECT_EQ(countPresence(1, TargetPresence::Listed), 9U) << offset;
    }
}

/// Guards against a joiner without what its peers keep for the grace period, from the store or from a peer.
TEST_F(FleetRestore, AnInstanceJoinsInTheMiddle)
{
    for (const bool fromPeers : {false, true}) {
        TargetRecord record = recordOf(4);
        record.isDraining = true;
        cluster.store.put(record);
        cluster.store.evacuate("dc-1");
        cluster.store.changeRoutes();
        cluster.run(seconds(1));
        cluster.store.restoreCopy();
        cluster.run(milliseconds(500));
        cluster.kill(5);
        if (fromPeers) {
            cluster.cutStore(5);
        }
        cluster.start(5);
        ASSERT_TRUE(cluster.runUntil([&]() { return cluster.members[5].control->isLoaded(); }, seconds(1)));
        cluster.run(milliseconds(300));
        EXPECT_TRUE(cluster.isEvacuatedEverywhere("dc-1")) << fromPeers;
        EXPECT_TRUE(!fromPeers || cluster.isKnownDraining(record));
        EXPECT_TRUE(timeUntilCurrent());
        cluster.run(seconds(8));
        EXPECT_TRUE(cluster.isEvacuatedEverywhere("dc-1", false)) << fromPeers;
        EXPECT_FALSE(cluster.isKnownDraining(record)) << fromPeers;
        EXPECT_TRUE(cluster.isInForceEverywhere()) << fromPeers;
        EXPECT_EQ(cluster.versionRegressions, 0U);
        cluster.cutStore(5, false);
    }
}

TEST_F(FleetRestore, TwoErasInQuickSuccession)
{
    for (int gap = 0; gap <= 1500; gap += 100) {
        cluster.store.put(recordOf(30));
        cluster.store.evacuate("dc-1");
        cluster.store.changeRoutes();
        cluster.run(seconds(1));
        cluster.store.restoreCopy();
        cluster.run(milliseconds(gap));
        cluster.store.restoreCopy();
        EXPECT_TRUE(timeUntilCurrent()) << gap;
        EXPECT_TRUE(cluster.isEvacuatedEverywhere("dc-1")) << gap;
        cluster.store.put(recordOf(30));
        EXPECT_TRUE(timeUntilCurrent()) << gap;
        cluster.run(seconds(8));
        EXPECT_EQ(countPresence(30, TargetPresence::Listed), 9U) << gap;
        EXPECT_TRUE(cluster.isEvacuatedEverywhere("dc-1", false)) << gap;
        EXPECT_TRUE(cluster.isInForceEverywhere()) << gap;
        EXPECT_EQ(cluster.versionRegressions, 0U);
    }
}

/// Guards against an era that begins while the store is away, with numbers beyond those that were known.
TEST_F(FleetRestore, TheStoreIsAwayMeanwhile)
{
    cluster.store.faults.isDown = true;
    cluster.run(seconds(1));
    cluster.store.restoreCopy();
    for (std::uint32_t number = 30; number < 50; ++number) {
        cluster.store.put(recordOf(number));
    }
    cluster.store.remove("i-3");
    cluster.run(seconds(2));
    cluster.store.faults.isDown = false;
    EXPECT_TRUE(timeUntilCurrent());
    cluster.run(seconds(1));
    EXPECT_EQ(countPresence(49, TargetPresence::Listed), 9U);
    EXPECT_EQ(countPresence(3, TargetPresence::Lapsed), 9U);
}

/// Guards against exceeding the bound, or the budget of the store, in a large fleet: all entries are new to
/// all instances, and do not fit into messages.
TEST(FleetRestoreLarge, AllInstancesAreCurrentWithinTheBound)
{
    FakeCluster cluster({68, 3, 150, RestoreBound});
    cluster.store.makeCopy();
    cluster.run(seconds(8));
    const std::uint64_t calls = cluster.store.calls;
    cluster.store.restoreCopy();
    const std::optional<Duration> taken = cluster.runUntil(
        [&]() {
            return std::all_of(cluster.members.begin(), cluster.members.end(), [&](const FakeMember &member) {
                return member.control->revision() == cluster.store.revision();
            });
        },
        RestoreBound);
    ASSERT_TRUE(taken);
    EXPECT_LE(*taken, milliseconds(500));
    cluster.run(seconds(3));
    EXPECT_LE(cluster.store.calls - calls, 3U * 6U);
    for (const FakeMember &member : cluster.members) {
        EXPECT_EQ(member.engine->targets().listedCount(), 150U);
    }
}

/// Guards against the reader of a new era that reads everything again and again.
TEST_F(FleetRestore, ANewEraCostsOneCompleteReadPerReader)
{
    const std::uint64_t before = cluster.store.calls;
    cluster.store.restoreCopy();
    cluster.run(seconds(3));
    EXPECT_LE(cluster.store.calls - before, 3U * 4U);
    EXPECT_EQ(std::count_if(cluster.members.begin(), cluster.members.end(),
                  [](const FakeMember &member) { return member.control->storeEra() == 1; }),
        9);
}

} // namespace jasminequay::fleet
