// Guards against running a request at two targets: tests every order in which the copies of an opening packet
// and their answers can arrive.
#include "openingmodel.h"
#include "steeringfixture.h"

#include <gtest/gtest.h>

#include <functional>
#include <vector>

namespace jasminequay::steering
{

/// The outcome of one order of events.
struct Outcome {
    unsigned runs = 0;
    unsigned resets = 0;
};

/// Runs one order of events: two copies of an opening packet, their answers in one of two orders, and a
/// request after the second answer, and also before it if `isRequestBetween`. The bits of `path` select the
/// instance of each packet.
static Outcome play(unsigned path, bool isSecondAnswerFirst, bool isRequestBetween)
{
    SteeredInstance instances[2] = {SteeredInstance(2), SteeredInstance(2)};
    const auto instance = [&](unsigned packet) -> SteeredInstance & {
        return instances[(path >> packet) & 1];
    };
    ModelTarget targets[2] = {{7000, false, 0, 0}, {9000, false, 0, 0}};
    const auto targetOfDecision = [&](const SteeringDecision &decision) -> ModelTarget & {
        return targets[decision.targetId == targetOf(0).identity.id ? 0 : 1];
    };
    for (SteeredInstance &each : instances) {
        each.now = Start;
    }
    const SteeringDecision first = instance(0).take(openingOf(1));
    for (SteeredInstance &each : instances) {
        each.now = Start + std::chrono::milliseconds(200);
    }
    const SteeringDecision second = instance(1).take(openingOf(1, 1));
    ModelCaller caller;
    unsigned packet = 2;
    const auto request = [&]() {
        const SteeringDecision decision
            = instance(packet++).take(dataOf(1, caller.token, 1001, *caller.answered + 1, 50));
        if (decision.action == SteeringAction::Forward) {
            targetOfDecision(decision).onData(*caller.answered + 1);
        }
    };
    const auto answer = [&](const SteeringDecision &placed) {
        caller.onAnswer(targetOfDecision(placed).number, placed.token);
    };
    answer(isSecondAnswerFirst ? second : first);
    if (isRequestBetween) {
        request();
    }
    answer(isSecondAnswerFirst ? first : second);
    request();
    Outcome outcome;
    for (const ModelTarget &target : targets) {
        // The same request sent twice on one open flow runs once: the byte stream discards the
        // retransmission.
        outcome.runs += target.runs > 0 ? 1 : 0;
        outcome.resets += target.resets;
    }
    return outcome;
}

TEST(OpeningOrder, NoOrderOfArrivalLetsTwoTargetsRunARequest)
{
    for (unsigned path = 0; path < 16; ++path) {
        for (const bool isSecondAnswerFirst : {false, true}) {
            for (const bool isRequestBetween : {false, true}) {
                const Outcome outcome = play(path, isSecondAnswerFirst, isRequestBetween);
                EXPECT_LE(outcome.runs, 1U) << path << isSecondAnswerFirst << isRequestBetween;
            }
        }
    }
}

TEST(OpeningOrder, AnInstanceThatSawTheFirstRequestKeepsTheFlowAtOneTarget)
{
    for (const bool isSecondAnswerFirst : {false, true}) {
        const Outcome outcome = play(0, isSecondAnswerFirst, true);
        EXPECT_EQ(outcome.runs, 1U) << isSecondAnswerFirst;
        EXPECT_EQ(outcome.resets, 0U) << isSecondAnswerFirst;
    }
}

/// Guards against sending a new flow to an old target where a caller reuses a port while the state of the old
/// flow is still kept.
TEST(OpeningOrder, AFlowOnAReusedPortIgnoresTheOldTarget)
{
    SteeredInstance instance(8);
    const SteeringDecision before = instance.open(1);
    KnownTarget *const old = instance.engine.targets().findByToken(before.token);
    ASSERT_NE(old, nullptr);
    old->openFlows += 100; // so that the new flow goes elsewhere
    const SteeringDecision after = instance.take(openingOf(1), std::chrono::seconds(1));
    ASSERT_EQ(after.action, SteeringAction::Forward);
    ASSERT_NE(after.target, before.target);
    const SteeringDecision opened = instance.take(dataOf(1, after.token, 1001, 9000, 100));
    EXPECT_EQ(opened.target, after.target);
    const SteeringDecision late = instance.take(dataOf(1, before.token, 1101, 9500, 100));
    EXPECT_EQ(late.target, after.target) << "a late answer of the old target changed the token only";
    EXPECT_EQ(late.targetId, after.targetId);
}

/// Guards against resetting the new flow on a reused port when the target of the old flow is lost.
TEST(OpeningOrder, TheLossOfTheOldTargetDoesNotResetAFlowOnAReusedPort)
{
    SteeredInstance instance(8);
    const SteeringDecision before = instance.open(1);
    KnownTarget *const old = instance.engine.targets().findByToken(before.token);
    ASSERT_NE(old, nullptr);
    old->openFlows += 100;
    const SteeringDecision after = instance.take(openingOf(1), std::chrono::seconds(1));
    ASSERT_NE(after.target, before.target);
    instance.take(dataOf(1, after.token, 1001, 9000, 100));
    instance.engine.targets().remove(old->record.name, 9, instance.now);
    EXPECT_TRUE(instance.engine.sweep(instance.now + std::chrono::seconds(1), 100).empty());
    EXPECT_TRUE(instance.engine.sweep(instance.now + std::chrono::seconds(3), 100).empty());
}

} // namespace jasminequay::steering
