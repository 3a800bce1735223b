// Tests the propagation of changes between instances, with the real decision libraries and injected time.
#include "fakecluster.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace jasminequay::fleet
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Guards against a fetched directory being taken for newer than it is, when the instance is paused while the
/// response waits in its socket.
TEST(Fleet, AFetchResponseIsNoFresherThanItsRequest)
{
    const TimePoint start(std::chrono::hours(1));
    SteeringEngine engine({});
    FleetSettings settings;
    settings.control = {{1}, 8166};
    settings.dataCentre = "dc-0";
    FleetControl control(settings, engine, start);
    FleetMessage message;
    DigestEntry entry;
    entry.control = {{2}, 8166};
    entry.instance = format(entry.control);
    entry.dataCentre = "dc-0";
    entry.incarnation = 1;
    message.sender = entry.instance;
    message.digest.peerControl = entry.control;
    message.digest.entries.push_back(entry);
    message.status = {true, 7, 1, milliseconds(100), true};
    ASSERT_TRUE(control.onMessage(message, start).fetch);
    FetchResponse response;
    response.age = milliseconds(100);
    response.update.isComplete = true;
    response.update.revision = 7;
    response.update.routes = RouteConfiguration{1, seconds(15), {}, {}};
    control.onFetchResponse(response, start + seconds(5));
    EXPECT_TRUE(control.isLoaded());
    EXPECT_EQ(engine.currentAt(), start - milliseconds(100));
}

/// How the reader of a data centre is lost.
enum class ReaderLoss : std::uint8_t {
    Freeze,
    Kill,
    FailingFetches, ///< Its messages arrive, but nobody can fetch from it or reach the store through it.
};

/// Makes a reader unable to serve fetches.
static void loseReader(FakeCluster &cluster, std::size_t reader, ReaderLoss loss)
{
    switch (loss) {
    case ReaderLoss::Freeze:
        cluster.members[reader].isFrozen = true;
        return;
    case ReaderLoss::Kill:
        cluster.kill(reader);
        return;
    case ReaderLoss::FailingFetches:
        for (std::size_t other = 0; other < cluster.members.size(); ++other) {
            cluster.cut(other, reader);
        }
        cluster.cutStore(reader);
        return;
    }
}

/// Tells whether all instances but the given ones have the newest routes.
static bool haveNewestRoutes(const FakeCluster &cluster, const std::vector<std::size_t> &excepted)
{
    for (std::size_t number = 0; number < cluster.members.size(); ++number) {
        const bool isExcepted = std::find(excepted.begin(), excepted.end(), number) != excepted.end();
        const bool isOld = !isExcepted && cluster.isRunning(number)
            && cluster.members[number].engine->routes().configuration().version
                != cluster.store.routesVersion();
        if (isOld) {
            return false;
        }
    }
    return true;
}

/// Guards against routes that no instance reads any more: the reader is lost after its message has raised the
/// revision of the others and before they have fetched the routes of that revision. This failed in
/// docs/incidents/8.md. The loss comes at each moment of the first 100 ms, with and without changed targets
/// beside the routes.
class LostReader : public testing::TestWithParam<ReaderLoss>
{
};

TEST_P(LostReader, OthersReadTheRoutesThatItAnnounced)
{
    for (const std::size_t dataCentres : {1U, 3U}) {
        for (int moment = 0; moment <= 100; moment += 5) {
            FakeCluster cluster({9, dataCentres});
            cluster.run(seconds(8) + milliseconds(7 * moment));
            const std::vector<std::size_t> readers = cluster.readers();
            if (moment % 2 == 0) {
                cluster.store.remove("i-3");
            }
            cluster.store.changeRoutes();
            cluster.run(milliseconds(moment));
            for (const std::size_t reader : readers) {
                loseReader(cluster, reader, GetParam());
            }
            EXPECT_TRUE(cluster.runUntil(
                [&]() { return haveNewestRoutes(cluster, readers); }, Bound - milliseconds(moment)))
                << "lost " << moment << " ms after the change, " << dataCentres << " data centres";
            EXPECT_EQ(cluster.versionRegressions, 0U);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(
    Fleet, LostReader, testing::Values(ReaderLoss::Freeze, ReaderLoss::Kill, ReaderLoss::FailingFetches));

/// Guards against an instance handing on a revision whose routes it lacks as if it had them: one that starts
/// and fetches from it would never read them.
TEST(Fleet, AnInstanceThatLoadsFromOneWithoutTheNewestRoutesReadsThem)
{
    for (int moment = 0; moment <= 30; moment += 5) {
        FakeCluster cluster({3, 1});
        cluster.run(seconds(8));
        const std::size_t reader = cluster.readers().front();
        const std::size_t joiner = (reader + 1) % 3;
        const std::size_t source = (reader + 2) % 3;
        cluster.kill(joiner);
        cluster.store.changeRoutes();
        cluster.run(milliseconds(moment));
        cluster.members[reader].isFrozen = true;
        cluster.cutStore(source);
        cluster.cutStore(joiner);
        cluster.run(milliseconds(420));
        cluster.start(joiner);
        // Long enough for the joiner's first read of the store to fail as well.
        cluster.run(seconds(1));
        ASSERT_TRUE(cluster.members[joiner].control->isLoaded());
        cluster.kill(source);
        cluster.cutStore(joiner, false);
        EXPECT_TRUE(cluster.runUntil([&]() { return cluster.isInForceEverywhere(); }, Bound)) << moment;
    }
}

/// Guards against discarding routes that took long to fetch because a message has raised the revision
/// meanwhile: while targets change all the time, the routes would never be in force.
TEST(Fleet, FetchedRoutesAreUsedThoughTargetsHaveChangedMeanwhile)
{
    const TimePoint start(std::chrono::hours(1));
    SteeringEngine engine({});
    FleetSettings settings;
    settings.control = {{1}, 8166};
    settings.dataCentre = "dc-0";
    FleetControl control(settings, engine, start);
    FleetMessage message;
    DigestEntry entry;
    entry.control = {{2}, 8166};
    entry.instance = format(entry.control);
    entry.dataCentre = "dc-0";
    entry.incarnation = 1;
    message.sender = entry.instance;
    message.digest.peerControl = entry.control;
    message.digest.entries.push_back(entry);
    message.status = {true, 7, 1, milliseconds(100), true};
    ASSERT_TRUE(control.onMessage(message, start).fetch);
    FetchResponse response;
    response.update.isComplete = true;
    response.update.revision = 7;
    response.update.routes = RouteConfiguration{1, seconds(15), {}, {}};
    control.onFetchResponse(response, start + milliseconds(10));

    message.status = {true, 8, 2, milliseconds(0), true};
    message.changes = {7, 8, 0, {}, {}};
    ASSERT_TRUE(control.onMessage(message, start + milliseconds(100)).fetch);
    message.status.revision = 9;
    message.changes = {7, 9, 0, {}, {}};
    control.onMessage(message, start + milliseconds(200));
    response.after = 8;
    response.update.isComplete = false;
    response.update.revision = 8;
    response.update.routes = RouteConfiguration{2, seconds(15), {}, {}};
    control.onFetchResponse(response, start + milliseconds(300));
    EXPECT_EQ(engine.routes().configuration().version, 2U);
    EXPECT_EQ(control.revision(), 9U);
}

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
