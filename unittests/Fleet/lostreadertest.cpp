// Tests what the other instances do when the one that reads the store is lost right after a change, with the
// real decision libraries and injected time.
#include "fakecluster.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace jasminequay::fleet
{

using std::chrono::milliseconds;
using std::chrono::seconds;

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

/// Returns the longest time in which no instance but the excepted one had a read under way.
static Duration longestWithoutReads(FakeCluster &cluster, std::size_t excepted, Duration duration)
{
    Duration longest{};
    TimePoint readAt = cluster.now;
    for (const TimePoint end = cluster.now + duration; cluster.now < end;) {
        cluster.run(milliseconds(5));
        for (std::size_t number = 0; number < cluster.members.size(); ++number) {
            readAt = number != excepted && cluster.members[number].read ? cluster.now : readAt;
        }
        longest = std::max<Duration>(longest, cluster.now - readAt);
    }
    return longest;
}

/// Guards against instances that have taken over the reads at the same time and then wait for each other: the
/// preferred one took the other one, which had stopped, for a reader (docs/incidents/17.md).
TEST(ReaderTakeover, NobodyWaitsForAReaderThatHasStopped)
{
    const Duration takeover = readerTiming(Bound).takeover;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        FakeCluster cluster({12, 1, 18, Bound, seed});
        cluster.run(seconds(6));
        const std::size_t reader = cluster.readers().front();
        cluster.cutStore(reader);
        cluster.run(milliseconds(1300));
        cluster.store.changeRoutes();
        EXPECT_LT(longestWithoutReads(cluster, reader, seconds(3)), takeover) << seed;
    }
}

} // namespace jasminequay::fleet
