// Tests of the order of revisions, and of targets, evacuations and routes when the store goes back to a copy.
#include "steeringfixture.h"

#include "jasminequay/Steering/storerevision.h"

#include <gtest/gtest.h>

namespace jasminequay::steering
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How long an older state is held back and a missing evacuation stays in force.
constexpr Duration Grace = milliseconds(2300);

TEST(StoreRevision, OrdersByEraThenNumber)
{
    EXPECT_EQ(storeRevision(0, 71), 71U);
    EXPECT_LT(storeRevision(0, MaximumRevisionNumber), storeRevision(1, 0));
    EXPECT_LT(storeRevision(1, 5), storeRevision(1, 6));
    EXPECT_EQ(storeRevision(0, ~std::uint64_t{0}), MaximumRevisionNumber)
        << "a number must not raise the era";
    EXPECT_EQ(eraOf(storeRevision(MaximumEra, 9)), MaximumEra);
    EXPECT_EQ(numberOf(storeRevision(7, 9)), 9U);
    EXPECT_EQ(describeRevision(71), "71");
    EXPECT_EQ(describeRevision(storeRevision(2, 71)), "2/71");
}

/// A directory whose store goes back from revision 20 of era 0 to revision 10.
class RestoredDirectory : public testing::Test
{
protected:
    RestoredDirectory()
    {
        directory.setServices({"desk"}, now);
        for (const std::uint32_t number : {1U, 2U}) {
            directory.put(targetOf(number, number), now);
        }
    }

    /// Returns the entry of a target as the copy lists it.
    static TargetRecord copyOf(std::uint32_t number, std::uint64_t revision = 5, std::int64_t startedAt = 1)
    {
        return targetOf(number, storeRevision(1, revision), startedAt);
    }

    void restore(const std::vector<TargetRecord> &listed)
    {
        directory.replaceAll(listed, storeRevision(1, 10), now);
    }

    void run(Duration duration)
    {
        now += duration;
        directory.expire(now, [](std::uint64_t) {});
    }

    KnownTarget &target(std::uint32_t number, std::int64_t startedAt = 1)
    {
        return *directory.find(targetOf(number, 1, startedAt).identity.key());
    }

    TargetDirectory directory;
    TimePoint now = Start;
};

TEST_F(RestoredDirectory, TargetsThatTheCopyLacksLapseAndMayReturn)
{
    restore({copyOf(1)});
    EXPECT_EQ(target(2).presence, TargetPresence::Lapsed);
    run(Grace - milliseconds(100));
    directory.put(copyOf(2, 11), now);
    EXPECT_EQ(target(2).presence, TargetPresence::Listed);
    run(Grace);
    EXPECT_EQ(target(2).presence, TargetPresence::Listed);
}

TEST_F(RestoredDirectory, TargetsThatDoNotReturnEnd)
{
    restore({copyOf(1)});
    run(Grace);
    EXPECT_EQ(target(2).presence, TargetPresence::Gone);
    EXPECT_EQ(target(1).presence, TargetPresence::Listed);
}

/// Guards against new flows to a target that leaves, because the copy is older than its word.
TEST_F(RestoredDirectory, ADrainingTargetStaysDraining)
{
    TargetRecord draining = targetOf(1, 15);
    draining.isDraining = true;
    directory.put(draining, now);
    restore({copyOf(1), copyOf(2)});
    EXPECT_TRUE(target(1).record.isDraining);
    run(milliseconds(500));
    restore({copyOf(1), copyOf(2)});
    draining.revision = storeRevision(1, 12);
    directory.put(draining, now);
    run(Grace);
    EXPECT_TRUE(target(1).record.isDraining) << "it has written it again";
}

TEST_F(RestoredDirectory, TheOlderStateCountsAfterTheGracePeriod)
{
    TargetRecord draining = targetOf(1, 15);
    draining.isDraining = true;
    directory.put(draining, now);
    restore({copyOf(1), copyOf(2)});
    run(Grace - milliseconds(1));
    EXPECT_TRUE(target(1).record.isDraining);
    // A peer repeats the same entry: its time does not start again.
    directory.put(copyOf(1), now);
    run(milliseconds(1));
    EXPECT_FALSE(target(1).record.isDraining);
}

/// Guards against resetting the flows of a target that has started again since the copy.
TEST_F(RestoredDirectory, AnOlderStartDoesNotEndANewerOne)
{
    directory.put(targetOf(1, 15, 2), now);
    EXPECT_EQ(target(1, 1).presence, TargetPresence::Gone);
    restore({copyOf(1, 5, 1), copyOf(2)});
    EXPECT_EQ(target(1, 2).presence, TargetPresence::Listed);
    directory.put(copyOf(1, 11, 2), now);
    run(Grace);
    EXPECT_EQ(target(1, 2).presence, TargetPresence::Listed);
    EXPECT_EQ(target(1, 1).presence, TargetPresence::Gone);
}

/// Guards against the entry of a target that has ended taking its former address from the one that has it
/// now. An instance that started after the end does not know the former target.
TEST_F(RestoredDirectory, AnEndedTargetDoesNotTakeAnAddressBack)
{
    for (const std::uint32_t former : {1U, 9U}) {
        directory = TargetDirectory();
        directory.setServices({"desk"}, now);
        directory.put(targetOf(1, 1), now);
        TargetRecord heir = targetOf(3, 16);
        heir.address = targetOf(former).address;
        directory.put(heir, now);
        restore({copyOf(former)});
        EXPECT_EQ(target(3).presence, TargetPresence::Lapsed);
        heir.revision = storeRevision(1, 12);
        directory.put(heir, now);
        run(Grace);
        EXPECT_EQ(target(3).presence, TargetPresence::Listed) << former;
    }
}

/// Guards against losing a held entry that is removed, or a second restore within the grace period.
TEST_F(RestoredDirectory, RemovalsAndFurtherErasReplaceAHeldEntry)
{
    TargetRecord draining = targetOf(1, 15);
    draining.isDraining = true;
    directory.put(draining, now);
    restore({copyOf(1), copyOf(2)});
    EXPECT_EQ(directory.heldCount(), 1U);
    run(seconds(1));
    directory.replaceAll(
        {targetOf(1, storeRevision(2, 3)), targetOf(2, storeRevision(2, 3))}, storeRevision(2, 8), now);
    run(seconds(2));
    EXPECT_TRUE(target(1).record.isDraining);
    directory.remove("i-1", storeRevision(2, 9), now);
    EXPECT_EQ(directory.heldCount(), 0U);
    run(Grace);
    EXPECT_EQ(target(1).presence, TargetPresence::Gone);
}

/// Guards against entries that lapsed while the store was away, and that the copy lists, ending meanwhile.
TEST_F(RestoredDirectory, ALapsedTargetThatTheCopyListsIsListed)
{
    directory.remove("i-1", 18, now);
    restore({copyOf(1), copyOf(2)});
    run(Grace);
    EXPECT_EQ(target(1).presence, TargetPresence::Listed);
}

/// Guards against all targets counting as cold after a restore, because the entries in the copy are as old as
/// their slow starts.
TEST_F(RestoredDirectory, ASlowStartDoesNotBeginAgain)
{
    TargetRecord record = targetOf(1, 15);
    record.warmUpLeft = seconds(4);
    directory.put(record, now);
    const TimePoint warmUpEndsAt = target(1).warmUpEndsAt;
    run(seconds(10));
    record.revision = storeRevision(1, 5);
    for (int read = 0; read < 2; ++read) {
        restore({record, copyOf(2)});
        EXPECT_EQ(target(1).warmUpEndsAt, warmUpEndsAt);
    }
    record.revision = storeRevision(1, 12);
    directory.put(record, now);
    EXPECT_EQ(target(1).warmUpEndsAt, now + seconds(4)) << "the target says that it is cold again";
}

/// Guards against entries of the earlier era that a peer still passes on.
TEST_F(RestoredDirectory, EntriesOfTheEarlierEraAreIgnored)
{
    restore({copyOf(1), copyOf(2)});
    TargetRecord late = targetOf(1, 900);
    late.isDraining = true;
    directory.put(late, now);
    directory.remove("i-2", 901, now);
    EXPECT_FALSE(target(1).record.isDraining);
    EXPECT_EQ(target(2).presence, TargetPresence::Listed);
}

TEST(RestoredEvacuations, StayInForceForTheGracePeriod)
{
    for (const bool isWrittenAgain : {false, true}) {
        EvacuationTable table;
        table.applyChanges({{"dc-1", 15, true}}, 20, Start);
        table.mergeAll({}, storeRevision(1, 10), Start);
        table.expire(Grace, Start + Grace - milliseconds(1));
        EXPECT_TRUE(table.isEvacuated("dc-1"));
        if (isWrittenAgain) {
            table.applyChanges(
                {{"dc-1", storeRevision(1, 11), true}}, storeRevision(1, 11), Start + seconds(1));
        }
        table.expire(Grace, Start + Grace);
        EXPECT_EQ(table.isEvacuated("dc-1"), isWrittenAgain);
        table.mergeAll({{"dc-1", 15, true}}, 20, Start + seconds(9));
        EXPECT_EQ(table.isEvacuated("dc-1"), isWrittenAgain) << "a peer of the earlier era";
    }
}

/// Guards against an instance that joins within the grace period and lacks what its peers still keep.
TEST(RestoredEvacuations, AJoinerTakesThemFromPeersWithinTheGracePeriod)
{
    EvacuationTable table;
    table.mergeAll({}, storeRevision(1, 10), Start);
    table.mergeAll({{"dc-1", 15, true}}, storeRevision(1, 10), Start + seconds(1));
    EXPECT_TRUE(table.isEvacuated("dc-1"));
    table.expire(Grace, Start + Grace);
    EXPECT_FALSE(table.isEvacuated("dc-1"));
    table.mergeAll({{"dc-1", 15, true}}, storeRevision(1, 10), Start + seconds(3));
    EXPECT_FALSE(table.isEvacuated("dc-1"));
}

TEST(RestoredRoutes, AreOrderedByEraThenVersion)
{
    RouteTable routes;
    EXPECT_TRUE(routes.replaceAll(routesOf(9)));
    RouteConfiguration later = routesOf(4);
    later.era = 1;
    EXPECT_TRUE(routes.replaceAll(later));
    EXPECT_FALSE(routes.replaceAll(routesOf(12)));
    later.version = 3;
    EXPECT_FALSE(routes.replaceAll(later));
}

} // namespace jasminequay::steering
