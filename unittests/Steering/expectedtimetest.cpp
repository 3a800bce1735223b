// Tests of placement by expected time.
#include "jasminequay/Steering/targetchoice.h"
#include "outlierworld.h"

#include <gtest/gtest.h>

namespace jasminequay::steering
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A service with four targets in each of two data centres; answers usually take 40 ms.
class ExpectedTime : public testing::Test
{
protected:
    ExpectedTime()
    {
        for (std::uint32_t number = 0; number < 8; ++number) {
            TargetRecord record = targetOf(number);
            record.dataCentre = number < 4 ? "dc-1" : "dc-2";
            directory.put(record, Start);
        }
        times.recordOpening("dc-1", milliseconds(2));
        times.recordOpening("dc-2", milliseconds(13));
        for (std::uint32_t count = 0; count < 80; ++count) {
            answer(count % 4, milliseconds(40));
        }
    }

    KnownTarget &target(std::uint32_t number)
    {
        return *directory.find(targetOf(number).identity.key());
    }

    void answer(std::uint32_t number, Duration time)
    {
        times.recordAnswer(Service, target(number), time, now);
    }

    /// Places flows that stay idle; returns how many each target got.
    std::map<std::uint32_t, std::uint32_t> place(std::uint32_t flows)
    {
        std::map<std::uint32_t, std::uint32_t> placed;
        for (std::uint32_t caller = 0; caller < flows; ++caller) {
            KnownTarget &chosen = choose(caller);
            ++chosen.openFlows;
            ++placed[static_cast<std::uint32_t>(chosen.record.identity.id - 1)];
        }
        return placed;
    }

    KnownTarget &choose(std::uint32_t caller)
    {
        ChoiceRequest request{flowOf(caller).hash(), 0, "dc-1", {}, milliseconds(100), {}};
        request.expectedTimes = &times;
        request.route = Service;
        return *chooseTarget(directory.targetsOfService("desk"), request, now);
    }

    /// Returns the share of flows that leave the data centre after some time with local answers of a
    /// duration.
    double spilledShare(Duration answerTime, Duration lasting)
    {
        for (const TimePoint end = now + lasting; now < end; now += milliseconds(20)) {
            answer(static_cast<std::uint32_t>(now.time_since_epoch() / milliseconds(20) % 4), answerTime);
            choose(0);
        }
        int spilled = 0;
        for (std::uint32_t caller = 0; caller < 1000; ++caller) {
            spilled += choose(caller).record.dataCentre == "dc-2" ? 1 : 0;
        }
        return spilled / 1000.0;
    }

    TargetDirectory directory;
    ExpectedTimes times;
    TimePoint now = Start + seconds(1);
};

/// Guards against work in another data centre without a reason: neither idle flows nor requests in flight nor
/// times that vary by a factor of two may move it.
TEST_F(ExpectedTime, CalmWorkStaysInItsDataCentre)
{
    for (std::uint32_t number = 0; number < 4; ++number) {
        answer(number, milliseconds(number % 2 == 0 ? 20 : 90));
        target(number).openFlows = 50;
        target(number).pace.recordRequest();
    }
    const auto placed = place(400);
    ASSERT_EQ(placed.size(), 4U);
    EXPECT_NEAR(placed.at(0), placed.at(3), 2);
}

/// Guards against flows at a target with a request in flight while others are idle.
TEST_F(ExpectedTime, ARequestInFlightCountsMoreThanIdleFlows)
{
    target(0).pace.recordRequest();
    target(0).openFlows = 1;
    for (std::uint32_t number = 1; number < 4; ++number) {
        target(number).openFlows = 3;
    }
    EXPECT_FALSE(place(10).contains(0));
}

/// Guards against callers that wait at a slow data centre while another one has room, and against moving all
/// work at once, which would only move the queue.
TEST_F(ExpectedTime, WorkMovesGraduallyWhenTheLocalTimesGrow)
{
    EXPECT_EQ(spilledShare(milliseconds(40), seconds(1)), 0);
    const double early = spilledShare(milliseconds(300), milliseconds(300));
    EXPECT_GT(early, 0.05);
    EXPECT_LT(early, 0.4);
    EXPECT_GT(spilledShare(milliseconds(300), seconds(2)), 0.8);
    EXPECT_EQ(spilledShare(milliseconds(40), seconds(5)), 0) << "work returns";
}

/// Guards against a queue of moved requests at the other data centre: the own ones in flight there limit
/// them.
TEST_F(ExpectedTime, RequestsInFlightAtAnotherDataCentreLimitWhatMoves)
{
    for (std::uint32_t request = 0; request < 80; ++request) {
        target(4 + request % 4).pace.recordRequest();
    }
    EXPECT_EQ(spilledShare(milliseconds(300), seconds(1)), 0);
}

/// Guards against a slow target that gets its share: one that is five times slower gets nothing while the
/// evidence is fresh.
TEST_F(ExpectedTime, ASlowTargetGetsNoFlowsUntilTheEvidenceDecays)
{
    for (std::uint32_t count = 0; count < 4; ++count) {
        answer(0, milliseconds(200));
    }
    EXPECT_FALSE(place(20).contains(0));
    now += seconds(4);
    EXPECT_TRUE(place(400).contains(0));
}

/// Guards against a flood of requests at a target in its slow start.
TEST_F(ExpectedTime, ATargetInItsSlowStartGetsLess)
{
    target(0).warmUpEndsAt = now + seconds(5);
    const auto placed = place(400);
    EXPECT_NEAR(placed.at(0), 0.6 * placed.at(1), 4);
}

/// Guards against a network delay that follows late processing: a low quantile of the openings counts.
TEST_F(ExpectedTime, TheNetworkDelayIgnoresLateAnswers)
{
    for (int count = 0; count < 100; ++count) {
        times.recordOpening("dc-2", milliseconds(count % 2 == 0 ? 13 : 60));
    }
    EXPECT_NEAR(times.networkDelay("dc-1", "dc-2"), 0.011, 0.006);
    EXPECT_EQ(times.networkDelay("dc-1", "dc-1"), 0);
    EXPECT_GT(times.networkDelay("dc-1", "dc-9"), 0);
}

/// Guards against a surge that becomes the usual time within its duration.
TEST_F(ExpectedTime, ASurgeOfSecondsDoesNotBecomeUsual)
{
    UsualTime usual;
    for (int count = 0; count < 100; ++count) {
        usual.record(milliseconds(40));
    }
    for (int count = 0; count < 800; ++count) {
        usual.record(milliseconds(400));
    }
    EXPECT_LT(usual.seconds(), 0.06);
}

/// Guards against work that leaves its data centre, and ejections, because single requests take longer.
TEST(ExpectedTimeWorld, CalmWorkStaysAlsoIfItsTimeVaries)
{
    OutlierWorld world(3, 24, 40);
    world.hasVariedWork = true;
    world.rates = {520, 520, 520};
    world.run(seconds(4));
    world.resetOutcomes();
    world.run(seconds(6));
    EXPECT_LT(world.remote, world.started / 50);
    EXPECT_LE(world.ejections(), 3U);
}

/// Guards against a surge in one data centre that overloads it while the others have room.
TEST(ExpectedTimeWorld, ASurgeInOneDataCentreMovesToTheOthers)
{
    OutlierWorld world(3, 24, 40);
    world.rates = {520, 520, 520};
    world.run(seconds(4));
    world.resetOutcomes();
    world.run(seconds(2));
    EXPECT_LT(world.remote, world.started / 200) << "calm work stays";
    world.rates = {2600, 520, 520};
    world.run(seconds(1));
    world.resetOutcomes();
    world.run(seconds(4));
    EXPECT_GT(static_cast<double>(world.good + world.inFlight), 0.98 * static_cast<double>(world.started));
    EXPECT_LT(world.meanTime(), milliseconds(150));
    EXPECT_GT(world.remote, world.started / 20);
    world.rates = {520, 520, 520};
    world.run(seconds(6));
    world.resetOutcomes();
    world.run(seconds(2));
    EXPECT_LT(world.remote, world.started / 100) << "work returns";
}

} // namespace jasminequay::steering
