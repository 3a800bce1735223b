// Tests of the ejection of outliers by whole engines, with callers and targets in virtual time.
#include "jasminequay/Steering/targetchoice.h"
#include "outlierworld.h"

#include <gtest/gtest.h>

#include <set>

namespace jasminequay::steering
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A data centre with 24 instances and 40 targets at the load of calm times: 13 requests per second at each
/// target, 0.5 from each instance.
class OutlierEngine : public testing::Test
{
protected:
    OutlierEngine()
        : world(1, 24, 40)
    {
        world.rates = {520};
        world.run(seconds(3));
    }

    /// Lets a tenth of the targets behave badly for four seconds.
    void spoil(Behaviour behaviour)
    {
        for (std::uint32_t target = 0; target < 4; ++target) {
            world.behaviours[target] = behaviour;
        }
        world.resetOutcomes();
        world.run(seconds(4));
    }

    [[nodiscard]] double goodShare() const
    {
        return static_cast<double>(world.good) / static_cast<double>(world.started);
    }

    /// Returns the number of ejected targets, summed over all instances.
    std::uint32_t ejectedEverywhere()
    {
        std::uint32_t ejected = 0;
        for (std::uint32_t target = 0; target < 40; ++target) {
            ejected += world.ejectedAt(target);
        }
        return ejected;
    }

    OutlierWorld world;
};

/// Guards against ejections where nothing is wrong.
TEST_F(OutlierEngine, CalmTimesEjectNothing)
{
    world.resetOutcomes();
    world.run(seconds(5));
    EXPECT_EQ(world.ejections(), 0U);
    EXPECT_GT(goodShare(), 0.99);
}

/// Guards against targets that answer errors although they report themselves healthy.
TEST_F(OutlierEngine, TargetsThatAnswerErrorsAreEjected)
{
    spoil(Behaviour::Errors);
    EXPECT_EQ(world.ejectedAt(0), 24U);
    EXPECT_GT(goodShare(), 0.96);
}

/// Guards against targets that accept requests and answer none.
TEST_F(OutlierEngine, HangingTargetsAreEjected)
{
    spoil(Behaviour::Hanging);
    EXPECT_EQ(world.ejectedAt(0), 24U);
    EXPECT_GT(goodShare(), 0.92);
}

/// Guards against targets that answer no opening packets.
TEST_F(OutlierEngine, MuteTargetsAreEjected)
{
    spoil(Behaviour::Mute);
    EXPECT_EQ(world.ejectedAt(0), 24U);
    EXPECT_GT(goodShare(), 0.94);
}

/// Guards against targets that take five times as long: they get less work than they would queue.
TEST_F(OutlierEngine, SlowTargetsGetLittleWork)
{
    spoil(Behaviour::Slow);
    const std::uint64_t slow = world.reached[0] + world.reached[1] + world.reached[2] + world.reached[3];
    EXPECT_LT(slow, world.started / 20);
    EXPECT_GT(goodShare(), 0.97);
}

/// Guards against targets that go down and come back before a health check sees it.
TEST_F(OutlierEngine, FlappingTargetsAreEjected)
{
    spoil(Behaviour::Flapping);
    EXPECT_GT(goodShare(), 0.95);
}

/// Guards against targets that stay out after they have recovered.
TEST_F(OutlierEngine, RecoveredTargetsAreReadmitted)
{
    spoil(Behaviour::Errors);
    world.behaviours.clear();
    world.run(seconds(9));
    EXPECT_EQ(world.ejectedAt(0), 0U);
}

/// Guards against losing capacity when all targets refuse requests because of overload.
TEST_F(OutlierEngine, AnOverloadOfTheWholeServiceEjectsFewTargets)
{
    world.rates = {5000};
    world.run(seconds(2));
    EXPECT_LT(ejectedEverywhere(), 24 * 40 / 20);
}

/// Guards against ejections when all answers take longer, as in a cut or when capacity is lost.
TEST_F(OutlierEngine, AServiceThatIsSlowAsAWholeEjectsNothing)
{
    world.workFactor = 12;
    world.rates = {100};
    world.run(milliseconds(500));
    EXPECT_LT(ejectedEverywhere(), 24 * 3) << "the first failures may coincide";
    for (int round = 0; round < 10; ++round) {
        world.run(milliseconds(250));
        EXPECT_LT(ejectedEverywhere(), 24);
    }
}

/// Guards against lost requests that may run only once: they do not try an ejected target.
TEST(OutlierReadmission, RequestsThatMayNotBeRepeatedTryNoEjectedTarget)
{
    OutlierWorld world(1, 4, 10, RequestKind::NonIdempotent);
    world.rates = {130};
    world.run(seconds(3));
    world.behaviours[0] = Behaviour::Errors;
    world.run(seconds(1));
    ASSERT_EQ(world.ejectedAt(0), 4U);
    world.resetOutcomes();
    world.run(seconds(3));
    EXPECT_EQ(world.reached[0], 0U);
}

/// Guards against an instance that takes its own pause for the silence of its targets.
TEST_F(OutlierEngine, APausedInstanceEjectsNothing)
{
    SteeringEngine &engine = *world.engines.front();
    std::vector<SteeringDecision> placed;
    for (std::uint32_t caller = 900000; caller < 900100; ++caller) {
        placed.push_back(engine.decide(openingOf(caller), world.now));
        engine.decide(dataOf(caller, placed.back().token, 1001, 5000, 100), world.now);
    }
    const TimePoint resumedAt = world.now + seconds(2);
    engine.decide(dataOf(900000, placed[0].token, 1101, 5900, 0), resumedAt);
    engine.sweep(resumedAt, 100);
    engine.sweep(resumedAt + milliseconds(50), 100);
    engine.decide(dataOf(900001, placed[1].token, 1101, 5900, 0), resumedAt + milliseconds(60));
    EXPECT_EQ(engine.outliers().counters().failures, 0U);
    EXPECT_TRUE(engine.outliers().takeReports(23, resumedAt).empty());
}

/// Guards against an overdue request that counts twice and so ejects its target alone: the sweep may see it
/// before its answer comes, or after.
TEST_F(OutlierEngine, AnOverdueRequestCountsOnce)
{
    SteeringEngine &engine = *world.engines.front();
    const auto request = [&](std::uint32_t caller, std::initializer_list<int> sweeps, int answeredAt) {
        const TimePoint start = world.now;
        const SteeringToken token = engine.decide(openingOf(caller), start).token;
        engine.decide(dataOf(caller, token, 1001, 5000, 100), start);
        for (const int sweep : sweeps) {
            engine.sweep(start + milliseconds(sweep), 100);
        }
        engine.decide(dataOf(caller, token, 1101, 5900, 0), start + milliseconds(answeredAt));
        world.now = start + milliseconds(answeredAt + 50);
        engine.sweep(world.now, 100);
    };
    request(900000, {100, 200, 300, 350}, 400);
    EXPECT_EQ(engine.outliers().counters().failures, 1U);
    request(900001, {100, 200, 299}, 310);
    EXPECT_EQ(engine.outliers().counters().failures, 2U);
    request(900002, {100, 200}, 290);
    EXPECT_EQ(engine.outliers().counters().failures, 2U);
}

/// Guards against a peer that reports failures of all targets, whether wrong or cut off from them.
TEST_F(OutlierEngine, AWrongPeerEjectsNothing)
{
    for (int round = 0; round < 20; ++round) {
        std::vector<TargetFailures> reports;
        for (std::uint32_t target = 0; target < 40; ++target) {
            reports.push_back({world.key(target), 5, milliseconds(0)});
        }
        world.engines.front()->recordPeerFailures("wrong", reports, world.now);
        world.run(milliseconds(100));
    }
    EXPECT_EQ(world.ejections(), 0U);
}

/// A service with ten targets, of which some are ejected.
class EjectedChoice : public testing::Test
{
protected:
    EjectedChoice()
    {
        for (std::uint32_t number = 0; number < 10; ++number) {
            directory.put(targetOf(number), Start);
        }
    }

    KnownTarget &target(std::uint32_t number)
    {
        return *directory.find(targetOf(number).identity.key());
    }

    void eject(std::uint32_t number)
    {
        const OutlierCandidate candidate{target(number).key, "desk", "dc-1", 10, 10};
        outliers.recordReport(candidate, 71, {candidate.key, 4, {}}, now);
        outliers.recordReport(candidate, 72, {candidate.key, 4, {}}, now);
    }

    /// Returns the numbers of the targets that get a hundred flows.
    std::set<std::uint64_t> chosen(bool isRepeatable = true)
    {
        std::set<std::uint64_t> found;
        for (std::uint32_t caller = 0; caller < 100; ++caller) {
            ChoiceRequest request{flowOf(caller).hash(), 0, "dc-1", {}, milliseconds(100), {}};
            request.outliers = &outliers;
            request.isRepeatable = isRepeatable;
            found.insert(
                chooseTarget(directory.targetsOfService("desk"), request, now)->record.identity.id - 1);
        }
        return found;
    }

    TargetDirectory directory;
    OutlierEjection outliers;
    TimePoint now = Start + seconds(1);
};

/// Guards against an ejected target that is taken before one that is only suspect, or after a lost one.
TEST_F(EjectedChoice, EjectedTargetsRankBetweenSuspectAndLostOnes)
{
    eject(0);
    for (std::uint32_t number = 1; number < 10; ++number) {
        target(number).record.isDraining = number > 4;
        target(number).evidence.recordUnansweredOpening(now);
    }
    EXPECT_EQ(chosen(), (std::set<std::uint64_t>{1, 2, 3, 4}));
    for (std::uint32_t number = 1; number < 5; ++number) {
        target(number).record.isDraining = number > 1;
        for (unsigned probe = 0; probe < 3; ++probe) {
            target(number).evidence.recordProbe(Reachability::Refused, now, now);
        }
    }
    target(1).evidence.recordRetransmission(1, now);
    ASSERT_TRUE(target(1).evidence.isLost(now));
    EXPECT_EQ(chosen(), std::set<std::uint64_t>{0});
}

/// Guards against a few targets that get all the work while most of the others are ejected or draining.
TEST_F(EjectedChoice, EjectionIsIgnoredAboveTwoFifthsOfTheUsableTargets)
{
    eject(0);
    eject(1);
    EXPECT_EQ(chosen().size(), 8U);
    for (std::uint32_t number = 4; number < 10; ++number) {
        target(number).record.isDraining = true;
    }
    EXPECT_EQ(chosen(), (std::set<std::uint64_t>{0, 1, 2, 3}));
}

/// Guards against requests that may run only once at a target that may still fail.
TEST_F(EjectedChoice, OnlyRepeatableFlowsTryATargetOnProbation)
{
    eject(0);
    now += seconds(1);
    EXPECT_FALSE(chosen(false).contains(0));
    EXPECT_TRUE(chosen(true).contains(0));
}

/// Guards against a changed behaviour of deployments that do not ask for the feature.
TEST(OutlierFeature, WithoutTheFeatureNothingIsRecorded)
{
    SteeredInstance instance(4);
    const SteeringDecision placed = instance.take(openingOf(1));
    instance.take(dataOf(1, placed.token, 1001, 5000, 100));
    instance.engine.recordPeerFailures("a", {{instance.target(0).key, 3, {}}}, instance.now);
    instance.engine.recordPeerFailures("b", {{instance.target(0).key, 3, {}}}, instance.now);
    instance.engine.sweep(instance.now + seconds(1), 10);
    EXPECT_EQ(instance.engine.outliers().counters().failures, 0U);
    EXPECT_EQ(instance.engine.outliers().counters().peerFailures, 0U);
}

} // namespace jasminequay::steering
