// What a fleet does after all its instances have ended at once, and how removals reach whoever missed them,
// with the real decision libraries and injected time.
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

/// Starts all, one after the other within `within`.
static void startAll(FakeCluster &cluster, Duration within)
{
    for (std::size_t number = 0; number < cluster.members.size(); ++number) {
        cluster.start(number);
        if (const Duration pause = within / cluster.members.size(); number % 10 == 9) {
            cluster.run(10 * pause);
        }
    }
}

static bool isServedByAll(const FakeCluster &cluster)
{
    for (const FakeMember &member : cluster.members) {
        const bool isServing = member.control && member.control->isLoaded()
            && member.control->revision() == cluster.store.revision();
        if (!isServing) {
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

/// A fleet of a size whose instances all end at once.
class RestartOfAll : public testing::TestWithParam<std::size_t>
{
protected:
    RestartOfAll()
        : cluster({GetParam(), 5, GetParam() * 10, seconds(6)})
    {
        cluster.run(seconds(6));
    }

    /// Ends all, lets the store change so that stale reads differ, and starts all again.
    std::optional<Duration> restart(Duration darkFor)
    {
        killAll(cluster);
        for (std::uint32_t number = 0; number < 5; ++number) {
            cluster.store.put(changedTarget(number, true));
            cluster.store.addForStaleReads();
        }
        cluster.run(darkFor);
        cluster.fetchedTargets = 0;
        cluster.fetchedAgain = 0;
        // A complete read of many entries takes a small machine this long.
        cluster.store.faults.answerTime = milliseconds(100);
        startAll(cluster, milliseconds(900));
        return cluster.runUntil([this]() { return isServedByAll(cluster); }, seconds(10));
    }

    FakeCluster cluster;
};

/// Answers a loss of power in a large fleet, with stale reads that differ from each other: instances that had
/// read the store fetched the whole directory again.
TEST_P(RestartOfAll, AllServeWithinASecondAndFetchWhatChangedOnly)
{
    const std::optional<Duration> taken = restart(milliseconds(1200));
    ASSERT_TRUE(taken);
    EXPECT_LE(*taken, seconds(1));
    cluster.run(seconds(4));
    RecordProperty(
        "milliseconds", static_cast<int>(std::chrono::duration_cast<milliseconds>(*taken).count()));
    RecordProperty("entries", static_cast<int>(cluster.fetchedTargets));
    RecordProperty("again", static_cast<int>(cluster.fetchedAgain));
    EXPECT_LE(cluster.fetchedAgain, 10 * GetParam())
        << "five entries changed, and a fetch may be repeated once";
}

INSTANTIATE_TEST_SUITE_P(Fleet, RestartOfAll, testing::Values(30, 100, 300));

/// Two instances, of which one has read the store anew after its history was lost. In between a target came
/// and went.
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

    /// What the reader tells after its complete read.
    FleetMessage newsAfterCompleteRead()
    {
        static_cast<void>(reader.onStoreAnswer(readOf(10, true, {targetAt(1, 5)}), now, now));
        now += milliseconds(10);
        const FleetActions told
            = reader.onStoreAnswer(readOf(20, true, {targetAt(1, 5), targetAt(3, 18)}), now, now);
        return told.messages.front().message;
    }

    TimePoint now{std::chrono::hours(1)};
    SteeringEngine readerEngine{{}};
    FleetControl reader{settingsOf(1), readerEngine, now};
    SteeringEngine otherEngine{{}};
    FleetControl other{settingsOf(2), otherEngine, now};
};

/// The other instance saw the target come at revision 12; it went at 15, which the reader cannot name.
TEST_F(MissedRemoval, ChangesOfACompleteReadAreNotAppliedInTheMiddle)
{
    const FleetMessage news = newsAfterCompleteRead();
    static_cast<void>(other.onStoreAnswer(readOf(10, true, {targetAt(1, 5)}), now, now));
    static_cast<void>(other.onStoreAnswer(readOf(12, false, {targetAt(2, 12)}), now, now));
    const FleetActions actions = other.onMessage(news, now);
    ASSERT_TRUE(actions.fetch) << "what is missing has to be fetched";
    EXPECT_EQ(other.revision(), 12U);
    const FleetActions again = other.onFetchResponse(reader.answerFetch(*actions.fetch, now), now);
    ASSERT_TRUE(again.fetch) << "the reader lists something else";
    EXPECT_EQ(again.fetch->after, 0U);
    now += milliseconds(10);
    static_cast<void>(other.onFetchResponse(reader.answerFetch(*again.fetch, now), now));
    EXPECT_EQ(other.revision(), 20U);
    const KnownTarget *const gone = otherEngine.targets().find(targetAt(2, 12).identity.key());
    ASSERT_NE(gone, nullptr);
    EXPECT_NE(gone->presence, TargetPresence::Listed);
}

TEST_F(MissedRemoval, WhoListsTheSameTakesWhatChangedOnly)
{
    static_cast<void>(newsAfterCompleteRead());
    static_cast<void>(other.onStoreAnswer(readOf(12, true, {targetAt(1, 5)}), now, now));
    const FetchResponse image = reader.answerFetch({{}, 12, 1}, now);
    EXPECT_EQ(image.update.targets.size(), 1U);
    EXPECT_FALSE(other.onFetchResponse(image, now).fetch);
    EXPECT_EQ(other.revision(), 20U);
    EXPECT_EQ(otherEngine.targets().listedCount(), 2U);
}

TEST_F(MissedRemoval, AnInstanceOfAnOlderVersionIsToldEverything)
{
    static_cast<void>(newsAfterCompleteRead());
    const FetchResponse image = reader.answerFetch({{}, 12, 1, false}, now);
    EXPECT_TRUE(image.update.isComplete);
    EXPECT_EQ(image.update.targets.size(), 2U);
}

} // namespace jasminequay::fleet
