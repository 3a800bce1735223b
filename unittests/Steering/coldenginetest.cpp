// Tests of what an engine does with openings while targets are cold.
#include "steeringfixture.h"

#include <gtest/gtest.h>

namespace jasminequay::steering
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An instance, alone in its data centre, whose service allows a cold target one flow per second.
class ColdEngine : public testing::Test
{
protected:
    ColdEngine()
        : instance(0)
    {
        RouteConfiguration routes = routesOf(2);
        routes.slowStarts["desk"] = {seconds(30), 1};
        instance.engine.replaceRoutes(routes, instance.now);
        instance.engine.coldTargets().start("self", instance.now);
        instance.now += seconds(10);
        instance.engine.markCurrentAt(instance.now);
    }

    TargetRecord put(std::uint32_t number, Duration warmUpLeft, const std::string &dataCentre = "dc-1",
        std::uint64_t revision = 1)
    {
        TargetRecord record = targetOf(number, revision);
        record.warmUpLeft = warmUpLeft;
        record.dataCentre = dataCentre;
        instance.engine.targets().put(record, instance.now);
        return record;
    }

    /// Returns the number of flows of `openings` that reach a target at once.
    int placedAt(std::uint32_t number, int openings)
    {
        int placed = 0;
        for (int opening = 0; opening < openings; ++opening) {
            const SteeringDecision decision = instance.open(++caller);
            placed += decision.targetId == targetOf(number).identity.id ? 1 : 0;
        }
        return placed;
    }

    SteeredInstance instance;
    std::uint32_t caller = 0;
};

/// Guards against refusals while another target takes flows, and against an idle cold target.
TEST_F(ColdEngine, OtherTargetsTakeWhatAColdTargetHasNoRoomFor)
{
    put(0, seconds(5));
    put(1, {});
    EXPECT_EQ(placedAt(0, 30), 1);
    EXPECT_EQ(placedAt(1, 30), 30);
    EXPECT_GT(instance.engine.coldTargets().counters().at("desk").passedOver, 0U);
    EXPECT_EQ(instance.engine.coldTargets().counters().at("desk").refused, 0U);
    instance.now += seconds(5);
    EXPECT_GT(placedAt(0, 30), 10);
}

TEST_F(ColdEngine, AnOpeningIsRefusedAtOnceIfOnlyColdTargetsWithoutRoomAreLeft)
{
    put(0, seconds(5));
    EXPECT_EQ(instance.open(1).action, SteeringAction::Forward);
    const SteeringDecision refused = instance.take(openingOf(2));
    EXPECT_EQ(refused.action, SteeringAction::Reset);
    EXPECT_EQ(refused.cause, SteeringCause::ServiceFull);
    EXPECT_EQ(instance.engine.coldTargets().counters().at("desk").refused, 1U);
    EXPECT_EQ(instance.take(openingOf(3), milliseconds(1100)).action, SteeringAction::Forward);
}

/// Guards against sending flows to a dead target because the cold ones have no room.
TEST_F(ColdEngine, ALostTargetIsNoAlternative)
{
    put(0, seconds(5), "dc-2");
    put(1, {});
    instance.target(1).evidence.recordUnansweredOpening(instance.now);
    for (int probe = 0; probe < 3; ++probe) {
        instance.target(1).evidence.recordProbe(Reachability::Refused, instance.now, instance.now);
    }
    ASSERT_TRUE(instance.target(1).evidence.isLost(instance.now));
    EXPECT_EQ(instance.take(openingOf(1)).cause, SteeringCause::ServiceFull);
}

/// Guards against retransmissions that come on top of the limit, for callers whose opening packets are lost.
TEST_F(ColdEngine, RetransmittedOpeningsCount)
{
    put(0, seconds(60));
    put(1, seconds(60));
    std::map<std::uint64_t, int> sent;
    for (std::uint32_t copy = 0; copy < 10; ++copy) {
        for (std::uint32_t number = 0; number < 5; ++number) {
            const SteeringDecision decision = instance.take(openingOf(number, copy), milliseconds(40));
            sent[decision.targetId] += decision.action == SteeringAction::Forward ? 1 : 0;
        }
    }
    EXPECT_LE(sent[targetOf(0).identity.id], 2);
    EXPECT_LE(sent[targetOf(1).identity.id], 2);
}

/// Guards against a port that is used again at once, whose opening looks like a duplicate.
TEST_F(ColdEngine, ALateOpeningWithoutACopyNumberCounts)
{
    put(0, seconds(60));
    EXPECT_EQ(instance.take(openingOf(1)).action, SteeringAction::Forward);
    EXPECT_EQ(instance.take(openingOf(1), milliseconds(5)).action, SteeringAction::Forward);
    EXPECT_EQ(instance.take(openingOf(1), milliseconds(300)).action, SteeringAction::Drop);
}

/// Guards against resetting an open flow by an old copy of its opening packet.
TEST_F(ColdEngine, ALateCopyOfAnOpeningEndsNoOpenFlow)
{
    put(0, seconds(60));
    instance.open(1);
    EXPECT_EQ(instance.take(openingOf(1, 1), milliseconds(200)).action, SteeringAction::Drop);
}

/// Guards against a reset in reply to a datagram that the network delivered twice, at any refusal for load.
TEST_F(ColdEngine, ALateDuplicateOfAnOpeningEndsNoOpenFlow)
{
    put(0, seconds(60));
    instance.open(1);
    EXPECT_EQ(instance.take(openingOf(1), milliseconds(50)).action, SteeringAction::Drop);
}

/// Guards against a reset while the answer of the target to the first opening packet may be under way.
TEST_F(ColdEngine, ACopyOfAnOpeningWithoutRoomIsDropped)
{
    put(0, seconds(60));
    EXPECT_EQ(instance.take(openingOf(1)).action, SteeringAction::Forward);
    EXPECT_EQ(instance.take(openingOf(1, 1), milliseconds(200)).action, SteeringAction::Drop);
}

/// Guards against the surge at the targets of a data centre when its evacuation ends.
TEST_F(ColdEngine, AfterAnEvacuationTheWarmDataCentresBearTheRest)
{
    for (std::uint32_t number = 0; number < 4; ++number) {
        put(number, {}, number < 2 ? "dc-1" : "dc-2");
    }
    instance.engine.restartWarmUp("dc-1", instance.now);
    int remote = 0;
    for (int opening = 0; opening < 50; ++opening) {
        const SteeringDecision decision = instance.open(++caller);
        EXPECT_EQ(decision.action, SteeringAction::Forward);
        remote += decision.targetId >= targetOf(2).identity.id ? 1 : 0;
    }
    EXPECT_EQ(remote, 48);
    instance.now += seconds(30);
    EXPECT_GE(placedAt(0, 20), 5);
}

/// Guards against a complete read of the store making warm targets cold again, and against an entry that was
/// written during an evacuation ending the slow start that follows it.
TEST_F(ColdEngine, OnlyANewEntryProlongsTheSlowStartAndNoneShortensIt)
{
    put(0, seconds(5));
    const TimePoint end = instance.now + seconds(5);
    instance.now += seconds(3);
    put(0, seconds(5));
    EXPECT_EQ(instance.target(0).coldUntil, end);
    put(0, {}, "dc-1", 2);
    EXPECT_EQ(instance.target(0).coldUntil, end);
    put(0, seconds(5), "dc-1", 3);
    EXPECT_EQ(instance.target(0).coldUntil, end + seconds(3));
}

/// Guards against an instance that never limits anything because an older instance, which does not know
/// limits, handed on the routes in force.
TEST_F(ColdEngine, LimitsThatAnOlderInstanceLeftOutAreAddedToTheSameVersion)
{
    instance.engine.replaceRoutes(routesOf(3), instance.now);
    EXPECT_FALSE(instance.engine.coldTargets().isLimited("desk"));
    RouteConfiguration routes = routesOf(3);
    routes.slowStarts["desk"] = {seconds(30), 1};
    instance.engine.replaceRoutes(routes, instance.now);
    EXPECT_TRUE(instance.engine.coldTargets().isLimited("desk"));
    EXPECT_FALSE(instance.engine.routes().configuration().slowStarts.empty());
}

/// Guards against any effect on services that state no limit.
TEST_F(ColdEngine, WithoutALimitColdTargetsTakeFlowsAsBefore)
{
    RouteConfiguration routes = routesOf(3);
    routes.slowStarts["desk"] = {seconds(30), 0};
    instance.engine.replaceRoutes(routes, instance.now);
    put(0, seconds(60));
    EXPECT_EQ(placedAt(0, 30), 30);
    EXPECT_TRUE(instance.engine.coldTargets().counters().empty());
}

} // namespace jasminequay::steering
