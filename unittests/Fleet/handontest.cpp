// How changes are handed on between instances, with the real decision libraries and injected time.
#include "fakecluster.h"

#include <gtest/gtest.h>

namespace jasminequay::fleet
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Answers an instance that sleeps while a peer's answer waits in its socket.
TEST(Fleet, WhatAPeerHandsOverIsNoFresherThanTheQuestion)
{
    const TimePoint start(std::chrono::hours(1));
    SteeringEngine engine({});
    FleetSettings settings;
    settings.control = {{1}, 8166};
    settings.dataCentre = "dc-0";
    FleetControl control(settings, engine, start);
    FleetMessage news;
    DigestEntry entry;
    entry.control = {{2}, 8166};
    entry.instance = format(entry.control);
    entry.dataCentre = "dc-0";
    entry.incarnation = 1;
    news.sender = entry.instance;
    news.digest.peerControl = entry.control;
    news.digest.entries.push_back(entry);
    news.status = {true, 7, 1, milliseconds(100), true};
    ASSERT_TRUE(control.onMessage(news, start).fetch);
    FetchResponse image;
    image.age = milliseconds(100);
    image.update.isComplete = true;
    image.update.revision = 7;
    image.update.routes = RouteConfiguration{1, seconds(15), {}, {}};
    control.onFetchResponse(image, start + seconds(5));
    EXPECT_TRUE(control.isLoaded());
    EXPECT_EQ(engine.currentAt(), start - milliseconds(100));
}

/// An instance sleeps while an entry goes; all that saw it go start again, and cannot name what they never
/// knew.
TEST(Fleet, WhoMissedARemovalLearnsItFromPeersThatStartedAfterIt)
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

/// Answers a change of routes in a large data centre: one instance cannot hand them to all others.
TEST(Fleet, RoutesAreHandedOnInATree)
{
    FakeCluster cluster({83, 1, 150});
    cluster.run(seconds(8));
    cluster.fetchesServed.clear();
    const std::optional<Duration> taken = timeToForce(cluster);
    ASSERT_TRUE(taken);
    EXPECT_LT(*taken, milliseconds(300));
    cluster.run(seconds(2));
    // Of 9 KB a second for control: 24 fetches of 10 KB at a change each 129 s are 1.9 KB a second.
    constexpr std::uint64_t MostFetches = 24;
    for (const auto &[number, fetches] : cluster.fetchesServed) {
        EXPECT_LE(fetches, MostFetches) << "by " << number;
    }
}

TEST(Fleet, ADeadInstanceInTheTreeHoldsNobodyUpForLong)
{
    FakeCluster cluster({83, 1, 150});
    cluster.run(seconds(8));
    // Those that hand on to others, and the one that reads, die at the moment of the change.
    const std::vector<std::size_t> readers = cluster.readers();
    for (std::size_t number = 0; number < 83; number += 3) {
        if (number != readers.front()) {
            cluster.kill(number);
        }
    }
    const std::optional<Duration> taken = timeToForce(cluster);
    ASSERT_TRUE(taken);
    EXPECT_LT(*taken, seconds(1));
}

TEST(Fleet, ManyChangesAtOnceReachEverybody)
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
    EXPECT_EQ(cluster.regressions, 0U);
}

/// A release of many targets in a large service: seen in the sweep to 300 instances.
TEST(Fleet, ABurstOfChangesIsHandedOnWithoutFetchingWhatIsKnown)
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
    EXPECT_TRUE(cluster.runUntil([&]() { return cluster.isKnownLeaving(records[199]); }, seconds(1)));
    cluster.run(seconds(1));
    for (const FakeMember &member : cluster.members) {
        EXPECT_EQ(member.control->revision(), cluster.store.revision());
    }
    // Complete lists would be 400 entries a member and burst.
    EXPECT_LT(cluster.fetchedTargets - fetchedBefore, 75U * 200U);
    // Two seconds of changes at a read each 100 ms, in five data centres, and the calm second.
    EXPECT_LE(cluster.store.calls - callsBefore, 5U * 35U);
}

} // namespace jasminequay::fleet
