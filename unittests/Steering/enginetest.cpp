#include "steeringfixture.h"

#include <gtest/gtest.h>

namespace jasminequay::steering
{

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(SteeringEngine, APlacedFlowIsSteeredByItsTokenAtAnyInstance)
{
    SteeredInstance placing(18);
    SteeredInstance other(18);
    const SteeringDecision placed = placing.take(openingOf(1));
    ASSERT_EQ(placed.action, SteeringAction::Forward);
    EXPECT_EQ(placed.cause, SteeringCause::Placed);
    EXPECT_NE(placed.targetId, 0U);
    const SteeringDecision later = other.take(dataOf(1, placed.token, 1001, 5000, 100));
    EXPECT_EQ(later.action, SteeringAction::Forward);
    EXPECT_EQ(later.target, placed.target);
    EXPECT_EQ(later.targetId, placed.targetId);
    EXPECT_EQ(later.token, placed.token);
}

TEST(SteeringEngine, ADuplicatedOpeningGoesToTheSameTarget)
{
    SteeredInstance instance(18);
    const SteeringDecision first = instance.take(openingOf(1));
    EXPECT_EQ(instance.take(openingOf(1)).target, first.target);
    EXPECT_EQ(instance.target(0).evidence.verdict(instance.now), TargetVerdict::Healthy);
}

TEST(SteeringEngine, ARetransmittedOpeningGoesToAnotherTarget)
{
    SteeredInstance instance(18);
    const SteeringDecision first = instance.take(openingOf(1));
    const SteeringDecision second = instance.take(openingOf(1, 1), milliseconds(200));
    EXPECT_EQ(second.cause, SteeringCause::PlacedAgain);
    EXPECT_NE(second.target, first.target);
}

/// Guards against flows reset by a second target: an instance that resumes after a pause must not place old
/// opening packets, as the other instances have placed their retransmissions (soak test, seed 35).
TEST(SteeringEngine, OpeningPacketsThatWaitedThroughAPauseAreDropped)
{
    SteeredInstance instance(18);
    const SteeringDecision before = instance.open(1);
    instance.engine.setBacklogged(true);
    const SteeringDecision stale = instance.take(openingOf(2));
    EXPECT_EQ(stale.action, SteeringAction::Drop);
    EXPECT_EQ(stale.cause, SteeringCause::OpeningStale);
    const SteeringDecision later = instance.take(dataOf(1, before.token, 1001, 5000, 100));
    EXPECT_EQ(later.action, SteeringAction::Forward) << "open flows go on";
    instance.engine.setBacklogged(false);
    EXPECT_EQ(instance.take(openingOf(2, 1)).action, SteeringAction::Forward)
        << "the caller's retransmission is served";
}

TEST(SteeringEngine, UnknownRoutesAreRefusedOnlyByACurrentView)
{
    SteeredInstance instance(3);
    PlainPacket packet = openingOf(1);
    packet.fields.flow.service.port = 999;
    EXPECT_EQ(instance.take(packet).action, SteeringAction::Reset);
    const SteeringDecision stale = instance.take(packet, seconds(5));
    EXPECT_EQ(stale.action, SteeringAction::Drop);
    EXPECT_EQ(stale.cause, SteeringCause::RouteUncertain);
}

TEST(SteeringEngine, ADroppedRouteEndsItsFlowsOnlyWhileTheViewIsCurrent)
{
    SteeredInstance instance(3);
    const SteeringDecision placed = instance.open(1);
    instance.engine.replaceRoutes(RouteConfiguration{2, {}, {}, {}}, instance.now);
    const SteeringDecision dropped = instance.take(dataOf(1, placed.token, 1001, 5000, 10));
    EXPECT_EQ(dropped.cause, SteeringCause::RouteDropped);
    EXPECT_EQ(dropped.resetSequence, 5000U);
    EXPECT_EQ(
        instance.take(dataOf(1, placed.token, 1001, 5000, 10), seconds(5)).action, SteeringAction::Forward);
}

TEST(SteeringEngine, ADrainingTargetKeepsItsFlowsAndGetsNoNewOnes)
{
    SteeredInstance instance(2);
    const SteeringDecision placed = instance.open(1);
    const std::uint32_t leaving = placed.targetId == targetOf(0).identity.id ? 0 : 1;
    TargetRecord record = targetOf(leaving, 2);
    record.isDraining = true;
    instance.engine.targets().put(record, instance.now);
    EXPECT_EQ(instance.take(dataOf(1, placed.token, 1001, 5000, 10)).target, placed.target);
    for (std::uint32_t caller = 2; caller < 50; ++caller) {
        EXPECT_NE(instance.take(openingOf(caller)).target, placed.target);
    }
}

TEST(SteeringEngine, OnlyFlowsOfAGoneTargetAreReset)
{
    SteeredInstance instance(2);
    std::vector<SteeringDecision> placed;
    for (std::uint32_t caller = 0; caller < 40; ++caller) {
        placed.push_back(instance.open(caller));
    }
    instance.engine.targets().remove("i-0", 9, instance.now);
    for (const Duration later : {seconds(1), seconds(2)}) {
        instance.engine.markCurrentAt(instance.now + later);
    }
    EXPECT_TRUE(instance.engine.sweep(instance.now + seconds(2), 100).empty()) << "the entry may return";
    EXPECT_TRUE(instance.engine.sweep(instance.now + milliseconds(2400), 100).empty())
        << "it may have returned, as the store has not been read since";
    instance.engine.markCurrentAt(instance.now + milliseconds(2400));
    const std::vector<PendingReset> resets = instance.engine.sweep(instance.now + milliseconds(2400), 100);
    EXPECT_EQ(resets.size(), 20U);
    for (const PendingReset &reset : resets) {
        EXPECT_EQ(reset.cause, SteeringCause::TargetGone);
        EXPECT_EQ(reset.targetKey, instance.target(0).key);
        EXPECT_EQ(reset.sequence, 5000U);
    }
}

TEST(SteeringEngine, ResetsPerSweepAreBounded)
{
    SteeredInstance instance(1);
    for (std::uint32_t caller = 0; caller < 50; ++caller) {
        instance.open(caller);
    }
    instance.engine.targets().put(targetOf(0, 5, 2), instance.now);
    EXPECT_EQ(instance.engine.sweep(instance.now, 30).size(), 30U);
    EXPECT_EQ(instance.engine.sweep(instance.now, 30).size(), 20U);
    EXPECT_TRUE(instance.engine.sweep(instance.now, 30).empty());
}

TEST(SteeringEngine, OldFlowsOfARestartedTargetAreResetAtAnInstanceThatNeverSawThem)
{
    SteeredInstance placing(1);
    SteeredInstance other(1);
    const SteeringDecision placed = placing.open(1);
    other.engine.targets().put(targetOf(0, 5, 2), other.now);
    EXPECT_EQ(other.take(dataOf(1, placed.token, 1001, 5000, 10)).cause, SteeringCause::TargetGone);
}

TEST(SteeringEngine, AnUnknownTokenIsRefusedOnlyByANewerView)
{
    SteeredInstance instance(3);
    instance.now += seconds(5);
    instance.engine.markCurrentAt(instance.now);
    const PlainPacket packet = dataOf(1, 0x12345678, 1001, 5000, 10);
    EXPECT_EQ(instance.take(packet).action, SteeringAction::Drop);
    EXPECT_EQ(instance.take(packet, milliseconds(200)).action, SteeringAction::Drop);
    instance.engine.markCurrentAt(instance.now);
    EXPECT_EQ(instance.take(packet, milliseconds(400)).cause, SteeringCause::TokenUnknown);
    // A target that is new at this instance is found as soon as it is known.
    EXPECT_EQ(instance.take(dataOf(2, 0x12345678, 1001, 5000, 10)).action, SteeringAction::Drop);
    instance.engine.targets().put(targetOf(7, 50), instance.now);
    const SteeringToken token = steeringToken(targetOf(7).identity.key(), 1);
    EXPECT_EQ(instance.take(dataOf(3, token, 1001, 5000, 10)).action, SteeringAction::Forward);
}

TEST(SteeringEngine, AResetIsNeverAnsweredWithAReset)
{
    SteeredInstance instance(1);
    const SteeringDecision placed = instance.open(1);
    instance.engine.targets().put(targetOf(0, 5, 2), instance.now);
    PlainPacket packet = dataOf(1, placed.token, 1001, 5000, 0);
    packet.fields.isReset = true;
    EXPECT_EQ(instance.take(packet).action, SteeringAction::Drop);
}

/// Three probes of the first target in a row are refused.
static void refuseThreeProbes(SteeredInstance &instance)
{
    for (unsigned probe = 0; probe < 3; ++probe) {
        instance.target(0).evidence.recordProbe(Reachability::Refused, instance.now, instance.now);
    }
}

/// Guards against open flows that hang at a dead target: a caller retransmits and the probes are refused.
TEST(SteeringEngine, ARetransmissionAndRefusedProbesResetAllOpenFlowsOfTheTarget)
{
    SteeredInstance instance(1);
    const SteeringDecision placed = instance.open(1);
    instance.open(2);
    instance.take(dataOf(1, placed.token, 1001, 5000, 10));
    instance.take(dataOf(1, placed.token, 1001, 5000, 10), milliseconds(200));
    EXPECT_TRUE(instance.target(0).evidence.needsProbe(instance.now));
    refuseThreeProbes(instance);
    const std::vector<PendingReset> resets = instance.engine.sweep(instance.now, 100);
    ASSERT_EQ(resets.size(), 2U);
    EXPECT_EQ(resets.front().cause, SteeringCause::TargetDead);
}

TEST(SteeringEngine, ManyPacketsOfOneRequestCountAsOneRetransmission)
{
    SteeredInstance instance(1);
    const SteeringDecision placed = instance.open(1);
    for (const int round : {0, 1}) {
        for (std::uint32_t packet = 0; packet < 5; ++packet) {
            const Duration pause = milliseconds(round == 1 && packet == 0 ? 200 : 1);
            instance.take(dataOf(1, placed.token, 1001 + 1200 * packet, 5000, 1200), pause);
        }
    }
    EXPECT_EQ(instance.target(0).evidence.stalledFlows(), 1U);
    instance.target(0).evidence.recordProbe(Reachability::Silent, instance.now, instance.now);
    instance.target(0).evidence.recordProbe(Reachability::Silent, instance.now, instance.now);
    EXPECT_EQ(instance.target(0).evidence.verdict(instance.now + seconds(1)), TargetVerdict::Suspect);
}

/// Guards against a download that hangs in a network partition: its target receives no acknowledgements and
/// retransmits, and the caller repeats its last acknowledgement.
TEST(SteeringEngine, ARepeatedAcknowledgementCountsAsARetransmission)
{
    SteeredInstance instance(1);
    const SteeringDecision placed = instance.open(1);
    instance.take(dataOf(1, placed.token, 1001, 5000, 100));
    instance.take(dataOf(1, placed.token, 1101, 6200, 0));
    instance.take(dataOf(1, placed.token, 1101, 6200, 0)); // a duplicated datagram
    EXPECT_EQ(instance.target(0).evidence.stalledFlows(), 0U);
    instance.take(dataOf(1, placed.token, 1101, 6200, 0), milliseconds(200));
    EXPECT_EQ(instance.target(0).evidence.stalledFlows(), 1U);
    instance.target(0).evidence.recordProbe(Reachability::Silent, instance.now, instance.now);
    instance.target(0).evidence.recordProbe(Reachability::Silent, instance.now, instance.now);
    instance.take(dataOf(1, placed.token, 1101, 6200, 0), milliseconds(400));
    ASSERT_EQ(instance.engine.sweep(instance.now, 10).size(), 0U) << "it was reset with its last packet";
    EXPECT_EQ(instance.engine.counters()[static_cast<std::size_t>(SteeringCause::TargetUnreachable)], 1U);
}

/// Guards against aborting a request that may run at most once while it may be running, such as a
/// learned-code upload or a reservation.
TEST(SteeringEngine, APendingNonIdempotentRequestIsNotAbortedByAPartition)
{
    SteeredInstance instance(1, RequestKind::NonIdempotent);
    const SteeringDecision placed = instance.open(1);
    instance.open(2);
    instance.take(dataOf(1, placed.token, 1001, 5000, 10));
    instance.take(dataOf(1, placed.token, 1001, 5000, 10), milliseconds(200));
    instance.take(dataOf(1, placed.token, 1001, 5000, 10), milliseconds(400));
    instance.target(0).evidence.recordProbe(Reachability::Silent, instance.now, instance.now);
    instance.target(0).evidence.recordProbe(Reachability::Silent, instance.now, instance.now);
    ASSERT_EQ(instance.target(0).evidence.verdict(instance.now), TargetVerdict::Unreachable);
    const std::vector<PendingReset> resets = instance.engine.sweep(instance.now, 100);
    ASSERT_EQ(resets.size(), 1U) << "the idle flow only";
    EXPECT_EQ(resets.front().flow, flowOf(2));
    EXPECT_EQ(instance.take(dataOf(1, placed.token, 1001, 5000, 10), milliseconds(800)).action,
        SteeringAction::Forward);
}

/// Guards against aborting a request in a network partition that refuses connections and so looks like a dead
/// target. This happened in an incident (docs/incidents/1.md).
TEST(SteeringEngine, APendingNonIdempotentRequestIsNotAbortedByARefusedProbe)
{
    SteeredInstance instance(1, RequestKind::NonIdempotent);
    const SteeringDecision placed = instance.open(1);
    instance.take(dataOf(1, placed.token, 1001, 5000, 10));
    instance.take(dataOf(1, placed.token, 1001, 5000, 10), milliseconds(200));
    refuseThreeProbes(instance);
    ASSERT_EQ(instance.target(0).evidence.verdict(instance.now), TargetVerdict::Dead);
    EXPECT_TRUE(instance.engine.sweep(instance.now, 100).empty());
    EXPECT_EQ(instance.take(dataOf(1, placed.token, 1001, 5000, 10), milliseconds(400)).action,
        SteeringAction::Forward);
    // A newer start under the same id proves that the process has ended.
    instance.engine.targets().put(targetOf(0, 5, 2), instance.now);
    EXPECT_EQ(instance.engine.sweep(instance.now, 100).size(), 1U);
}

TEST(SteeringEngine, ATargetThatMakesProgressIsNeverDeclaredLost)
{
    SteeredInstance instance(1);
    const SteeringDecision placed = instance.open(1);
    const SteeringDecision other = instance.open(2);
    for (std::uint32_t round = 0; round < 20; ++round) {
        instance.take(dataOf(1, placed.token, 1001, 5000, 10), milliseconds(200));
        instance.take(dataOf(2, other.token, 1001 + 10 * round, 5001 + 100 * round, 10));
        EXPECT_TRUE(instance.engine.sweep(instance.now, 100).empty());
    }
}

TEST(SteeringEngine, OpenFlowsAreCountedOnceAndReleased)
{
    SteeredInstance instance(1);
    const SteeringDecision placed = instance.open(1);
    instance.take(openingOf(2));
    instance.take(openingOf(2, 1), milliseconds(200));
    EXPECT_EQ(instance.target(0).openFlows, 2U);
    PlainPacket end = dataOf(1, placed.token, 1001, 5000, 0);
    end.fields.isEnd = true;
    instance.take(end);
    instance.engine.sweep(instance.now + seconds(10), 100);
    EXPECT_EQ(instance.target(0).openFlows, 1U);
    instance.engine.sweep(instance.now + seconds(70), 100);
    EXPECT_EQ(instance.target(0).openFlows, 0U);
    EXPECT_EQ(instance.engine.flows().size(), 0U);
}

TEST(SteeringEngine, AFullFlowTableReleasesTheFlowsItEvicts)
{
    SteeredInstance instance(4);
    constexpr std::uint32_t Capacity = 4096;
    for (std::uint32_t caller = 0; caller < 3 * Capacity; ++caller) {
        instance.open(caller);
    }
    std::size_t counted = 0;
    for (std::uint32_t number = 0; number < 4; ++number) {
        counted += instance.target(number).openFlows;
    }
    EXPECT_EQ(instance.engine.flows().size(), Capacity);
    EXPECT_EQ(counted, Capacity) << "an evicted flow is still counted on its target";
}

TEST(SteeringEngine, AFlowIsRefusedAtOnceWhereThereIsNoTarget)
{
    SteeredInstance instance(0);
    const SteeringDecision refused = instance.take(openingOf(1));
    EXPECT_EQ(refused.action, SteeringAction::Reset);
    EXPECT_EQ(refused.cause, SteeringCause::NoTarget);
}

} // namespace jasminequay::steering
