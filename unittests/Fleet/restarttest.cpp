// Tests the restart of all instances at once, and how removals reach instances that missed them, with the
// real decision libraries and injected time.
#include "fakecluster.h"

#include <gtest/gtest.h>

namespace jasminequay::fleet
{

using std::chrono::milliseconds;
using std::chrono::seconds;

static void killAll(FakeCluster &cluster)
{
    for (std::size_t number = 0; number < cluster.members.size(); ++number) {
        cluster.kill(number);
    }
}

/// Starts all instances, spread over `within`.
static void startAll(FakeCluster &cluster, Duration within)
{
    for (std::size_t number = 0; number < cluster.members.size(); ++number) {
        cluster.start(number);
        if (const Duration pause = within / cluster.members.size(); number % 10 == 9) {
            cluster.run(10 * pause);
        }
    }
}

static bool areAllCurrent(const FakeCluster &cluster)
{
    for (const FakeMember &member : cluster.members) {
        const bool isCurrent = member.control && member.control->isLoaded()
            && member.control->revision() == cluster.store.revision();
        if (!isCurrent) {
            return false;
        }
    }
    return true;
}

static TargetRecord changedTarget(std::uint32_t number, bool isDraining)
{
    TargetRecord record;
    record.name = "i-" + std::to_string(number);
    record.identity = {number + 1, 1};
    record.address = {{0x0a800000 + number}, 8080};
    record.service = "desk";
    record.dataCentre = "dc-" + std::to_string(number % 5);
    record.isDraining = isDraining;
    return record;
}

/// A fleet of the given size whose instances all stop at once.
class FullRestart : public testing::TestWithParam<std::size_t>
{
protected:
    FullRestart()
        : cluster({GetParam(), 5, GetParam() * 10, seconds(6)})
    {
        cluster.run(seconds(6));
    }

    /// Stops all instances, changes the store so that stale reads differ, and starts all instances again.
    std::optional<Duration> restart(Duration downtime)
    {
        killAll(cluster);
        for (std::uint32_t number = 0; number < 5; ++number) {
            cluster.store.put(changedTarget(number, true));
            cluster.store.addStaleAnswer();
        }
        cluster.run(downtime);
        cluster.fetchedTargets = 0;
        cluster.refetchedTargets = 0;
        // The time that a complete read of many entries takes on a small machine.
        cluster.store.faults.answerTime = milliseconds(100);
        startAll(cluster, milliseconds(900));
        return cluster.runUntil([this]() { return areAllCurrent(cluster); }, seconds(10));
    }

    FakeCluster cluster;
};

/// Guards against repeated fetches after a loss of power in a large fleet: stale reads that differed from
/// each other made instances that had read the store fetch the whole directory again.
TEST_P(FullRestart, AllAreCurrentWithinASecondAndFetchOnlyChanges)
{
    const std::optional<Duration> taken = restart(milliseconds(1200));
    ASSERT_TRUE(taken);
    EXPECT_LE(*taken, seconds(1));
    cluster.run(seconds(4));
    RecordProperty(
        "milliseconds", static_cast<int>(std::chrono::duration_cast<milliseconds>(*taken).count()));
    RecordProperty("entries", static_cast<int>(cluster.fetchedTargets));
    RecordProperty("again", static_cast<int>(cluster.refetchedTargets));
    EXPECT_LE(cluster.refetchedTargets, 10 * GetParam())
        << "five entries changed, and a fetch may be repeated once";
}

INSTANTIATE_TEST_SUITE_P(Fleet, FullRestart, testing::Values(30, 100, 300));

/// Two instances, one of which has made a new complete read after the store lost its history. A target was
/// added and removed before that read.
class MissedRemoval : public testing::Test
{
protected:
    static FleetSettings settingsOf(std::uint32_t number)
    {
        FleetSettings settings;
        settings.control = {{number}, 8166};
        settings.dataCentre = "dc-" + std::to_string(number);
        return settings;
    }

    static StoreAnswer readOf(std::uint64_t revision, bool isComplete, std::vector<TargetRecord> targets)
    {
        StoreAnswer answer;
        answer.outcome = StoreOutcome::Answered;
        answer.update.revision = revision;
        answer.update.isComplete = isComplete;
        answer.update.routes = RouteConfiguration{1, seconds(15), {}, {}};
        answer.update.targets = std::move(targets);
        return answer;
    }

    static TargetRecord targetAt(std::uint32_t number, std::uint64_t revision)
    {
        TargetRecord record = changedTarget(number, false);
        record.revision = revision;
        return record;
    }

    /// Returns the message that the reader sends after its complete read.
    FleetMessage messageAfterCompleteRead()
    {
        static_cast<void>(reader.onStoreAnswer(readOf(10, true, {targetAt(1, 5)}), now, now));
        now += milliseconds(10);
        const FleetActions announcement
            = reader.onStoreAnswer(readOf(20, true, {targetAt(1, 5), targetAt(3, 18)}), now, now);
        return announcement.messages.front().message;
    }

    TimePoint now{std::chrono::hours(1)};
    SteeringEngine readerEngine{{}};
    FleetControl reader{settingsOf(1), readerEngine, now};
    SteeringEngine otherEngine{{}};
    FleetControl other{settingsOf(2), otherEngine, now};
};

/// Guards against a removed target staying listed: the other instance saw it added at revision 12, and the
/// reader cannot name its removal at 15.
TEST_F(MissedRemoval, ChangesAcrossACompleteReadNeedAFetchInBetween)
{
    const FleetMessage message = messageAfterCompleteRead();
    static_cast<void>(other.onStoreAnswer(readOf(10, true, {targetAt(1, 5)}), now, now));
    static_cast<void>(other.onStoreAnswer(readOf(12, false, {targetAt(2, 12)}), now, now));
    const FleetActions actions = other.onMessage(message, now);
    ASSERT_TRUE(actions.fetch) << "what is missing has to be fetched";
    EXPECT_EQ(other.revision(), 12U);
    const FleetActions again = other.onFetchResponse(reader.answerFetch(*actions.fetch, now), now);
    ASSERT_TRUE(again.fetch) << "the reader lists other targets";
    EXPECT_EQ(again.fetch->after, 0U);
    now += milliseconds(10);
    static_cast<void>(other.onFetchResponse(reader.answerFetch(*again.fetch, now), now));
    EXPECT_EQ(other.revision(), 20U);
    const KnownTarget *const gone = otherEngine.targets().find(targetAt(2, 12).identity.key());
    ASSERT_NE(gone, nullptr);
    EXPECT_NE(gone->presence, TargetPresence::Listed);
}

TEST_F(MissedRemoval, AnEqualListingNeedsOnlyTheChanges)
{
    static_cast<void>(messageAfterCompleteRead());
    static_cast<void>(other.onStoreAnswer(readOf(12, true, {targetAt(1, 5)}), now, now));
    const FetchResponse response = reader.answerFetch({{}, 12, 1}, now);
    EXPECT_EQ(response.update.targets.size(), 1U);
    EXPECT_FALSE(other.onFetchResponse(response, now).fetch);
    EXPECT_EQ(other.revision(), 20U);
    EXPECT_EQ(otherEngine.targets().listedCount(), 2U);
}

TEST_F(MissedRemoval, AnInstanceOfAnOlderVersionIsSentEverything)
{
    static_cast<void>(messageAfterCompleteRead());
    const FetchResponse response = reader.answerFetch({{}, 12, 1, false}, now);
    EXPECT_TRUE(response.update.isComplete);
    EXPECT_EQ(response.update.targets.size(), 2U);
}

} // namespace jasminequay::fleet
