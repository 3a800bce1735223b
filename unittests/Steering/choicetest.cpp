// Tests of the choice of targets for new flows.
#include "steeringfixture.h"

#include "jasminequay/Steering/targetchoice.h"

#include <gtest/gtest.h>

#include <map>

namespace jasminequay::steering
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A service with targets in two data centres.
class TargetChoice : public testing::Test
{
protected:
    TargetChoice()
    {
        for (std::uint32_t number = 0; number < 8; ++number) {
            TargetRecord record = targetOf(number);
            record.dataCentre = number < 4 ? "dc-1" : "dc-2";
            directory.put(record, Start);
        }
    }

    KnownTarget &target(std::uint32_t number)
    {
        return *directory.find(targetOf(number).identity.key());
    }

    /// Places flows one after the other; returns how many each target got.
    std::map<std::string, std::uint32_t> place(std::uint32_t flows, std::uint64_t avoidedTarget = 0)
    {
        std::map<std::string, std::uint32_t> placed;
        for (std::uint32_t caller = 0; caller < flows; ++caller) {
            KnownTarget *const chosen = chooseTarget(directory.targetsOfService("desk"),
                {flowOf(caller).hash(), avoidedTarget, "dc-1", {}, milliseconds(100), {}, {}}, now);
            if (chosen != nullptr) {
                ++chosen->openFlows;
                ++placed[chosen->record.name];
            }
        }
        return placed;
    }

    TargetDirectory directory;
    TimePoint now = Start + seconds(1);
};

TEST_F(TargetChoice, SteadyLoadIsSpreadEvenlyAndStaysInTheDataCentre)
{
    const auto placed = place(400);
    EXPECT_NEAR(placed.at("i-0"), placed.at("i-3"), 1);
    EXPECT_NEAR(placed.at("i-4"), placed.at("i-7"), 1);
    EXPECT_GT(placed.at("i-0"), 2 * placed.at("i-4"));
}

TEST_F(TargetChoice, ASurgeSpillsIntoOtherDataCentres)
{
    for (std::uint32_t number = 0; number < 4; ++number) {
        target(number).openFlows = 1000;
    }
    const auto placed = place(100);
    EXPECT_EQ(placed.count("i-0"), 0U);
    EXPECT_GT(placed.at("i-4"), 20U);
}

TEST_F(TargetChoice, AWarmingUpTargetGetsFewerFlows)
{
    target(0).warmUpEndsAt = now + seconds(2);
    const auto placed = place(300);
    EXPECT_LT(placed.at("i-0"), placed.at("i-1") * 0.7);
    EXPECT_GT(placed.at("i-0"), placed.at("i-1") * 0.5);
}

TEST_F(TargetChoice, ADrainingTargetGetsNoFlowsEvenAsTheOnlyOne)
{
    for (std::uint32_t number = 0; number < 8; ++number) {
        target(number).record.isDraining = number != 6;
    }
    EXPECT_EQ(place(20).at("i-6"), 20U);
    target(6).record.isDraining = true;
    EXPECT_TRUE(place(20).empty());
}

TEST_F(TargetChoice, ASuspectTargetIsAvoided)
{
    target(1).evidence.recordRetransmission(1, now);
    EXPECT_EQ(place(100).count("i-1"), 0U);
}

TEST_F(TargetChoice, SuspicionIsIgnoredWhenMostTargetsAreSuspect)
{
    for (std::uint32_t number = 0; number < 6; ++number) {
        target(number).evidence.recordRetransmission(1, now);
    }
    const auto placed = place(400);
    EXPECT_GT(placed.at("i-0"), 40U);
}

TEST_F(TargetChoice, OneLapsedTargetIsAvoidedButAMassLapseIsIgnored)
{
    directory.remove("i-0", 5, now);
    EXPECT_EQ(place(100).count("i-0"), 0U);
    for (std::uint32_t number = 1; number < 8; ++number) {
        directory.remove("i-" + std::to_string(number), 5, now);
    }
    EXPECT_GT(place(100).at("i-0"), 10U);
}

TEST_F(TargetChoice, ATargetThatDroppedTheOpeningIsNotTriedAgain)
{
    EXPECT_EQ(place(100, target(2).key).count("i-2"), 0U);
}

/// Guards against sending half a second of new flows to a target that died, until their callers retransmit.
TEST_F(TargetChoice, ATargetThatLeavesAnOpeningUnansweredGetsNoMore)
{
    target(0).openings.recordOpening(now);
    EXPECT_EQ(place(40).count("i-0"), 1U);
    now += milliseconds(150);
    EXPECT_EQ(place(40).count("i-0"), 0U);
    target(0).openings.recordProgress(now);
    EXPECT_EQ(place(40).count("i-0"), 1U);
}

/// Guards against an instance that has just started and believes that targets beyond a cut are fast, as it
/// has heard nothing from them: one flow at a time finds out.
TEST_F(TargetChoice, ADataCentreThatNeverAnsweredGetsOneFlowAtATime)
{
    constexpr Duration Patience = milliseconds(40);
    EXPECT_TRUE(directory.silentDataCentres("dc-1", Patience, now).empty());
    directory.openingsOf("dc-2").recordOpening(now);
    EXPECT_EQ(directory.silentDataCentres("dc-1", Patience, now), std::vector<std::string>{"dc-2"});
    EXPECT_TRUE(directory.silentDataCentres("dc-2", Patience, now).empty());
    now += milliseconds(700);
    EXPECT_TRUE(directory.silentDataCentres("dc-1", Patience, now).empty());
    directory.openingsOf("dc-2").recordOpening(now);
    directory.openingsOf("dc-2").recordProgress(now);
    EXPECT_TRUE(directory.silentDataCentres("dc-1", Patience, now).empty());
}

/// Once a data centre has answered, several flows may open there at a time, but not while one of them waits
/// for longer than answers take.
TEST_F(TargetChoice, ADataCentreThatStopsAnsweringIsSilentWithinTheUsualTimeOfAnAnswer)
{
    constexpr Duration Patience = milliseconds(40);
    directory.openingsOf("dc-2").recordProgress(now);
    directory.openingsOf("dc-2").recordOpening(now);
    now += milliseconds(10);
    directory.openingsOf("dc-2").recordOpening(now);
    EXPECT_TRUE(directory.silentDataCentres("dc-1", Patience, now).empty());
    now += milliseconds(30);
    EXPECT_EQ(directory.silentDataCentres("dc-1", Patience, now).size(), 1U);
}

TEST(OpeningPatienceTest, PatienceFollowsTheTimesOfAnswers)
{
    OpeningPatience patience;
    EXPECT_EQ(patience.value(), milliseconds(40));
    for (int answer = 0; answer < 100; ++answer) {
        patience.recordAnswer(milliseconds(30));
    }
    EXPECT_GE(patience.value(), milliseconds(100));
    for (int answer = 0; answer < 100; ++answer) {
        patience.recordAnswer(seconds(5));
    }
    EXPECT_LE(patience.value(), milliseconds(200));
}

} // namespace jasminequay::steering
