// Guards against allowing a second target for an opening that the first one may still answer: tests in which
// orders that resets an open flow, and that a copy to the same target resets none. See
// docs/design/second-try.md.
#include "openingmodel.h"
#include "steeringfixture.h"

#include <gtest/gtest.h>

#include <vector>

namespace jasminequay::steering
{

/// One order of events after an opening packet at instance 0 and its copy to another target.
struct HedgedOrder {
    std::vector<unsigned> answers; ///< The targets whose answers the caller hears, in this order.
    bool isRequestBetween = false; ///< Whether an instance gets a request before the second answer is heard.
    unsigned firstInstance = 0; ///< The instance that gets this request.
    unsigned lastInstance = 0; ///< The instance that gets the request after the last answer.
};

/// Returns all orders over one and two instances.
static std::vector<HedgedOrder> hedgedOrders()
{
    std::vector<HedgedOrder> orders;
    for (const std::vector<unsigned> &answers : {std::vector<unsigned>{0}, {1}, {0, 1}, {1, 0}}) {
        for (unsigned path = 0; path < 8; ++path) {
            orders.push_back({answers, (path & 1) != 0, (path >> 1) & 1, (path >> 2) & 1});
        }
    }
    return orders;
}

/// Where the copy of an opening packet goes.
enum class CopyTo : std::uint8_t { OtherTarget, SameTarget };

/// Runs one order and returns the two targets. The first one gets the opening packet, `copyTo` its copy.
static std::vector<ModelTarget> play(const HedgedOrder &order, CopyTo copyTo)
{
    SteeredInstance instances[2] = {SteeredInstance(2), SteeredInstance(2)};
    const SteeringDecision first = instances[0].take(openingOf(1));
    const unsigned other = first.targetId == targetOf(0).identity.id ? 1 : 0;
    KnownTarget &second = instances[0].target(other);
    const SteeringToken tokens[2]
        = {first.token, instances[0].engine.targets().tokenFor(second, flowOf(1).hash())};
    std::vector<ModelTarget> targets{{7000, false, 0, 0}, {9000, false, 0, 0}};
    ModelCaller caller;
    const auto request = [&](unsigned instance) {
        const SteeringDecision decision
            = instances[instance].take(dataOf(1, caller.token, 1001, *caller.answered + 1, 50));
        EXPECT_EQ(decision.action, SteeringAction::Forward);
        targets[decision.targetId == first.targetId ? 0 : 1].onData(*caller.answered + 1);
    };
    for (const unsigned answer : order.answers) {
        const unsigned answering = copyTo == CopyTo::SameTarget ? 0 : answer;
        caller.onAnswer(targets[answering].number, tokens[answering]);
        if (order.isRequestBetween && answer == order.answers.front()) {
            request(order.firstInstance);
        }
    }
    request(order.lastInstance);
    return targets;
}

/// If no order resets a flow any more, copies to another target may be weighed again.
TEST(HedgedOpening, ALateSecondAnswerResetsTheFlowAtAnInstanceThatDidNotSeeItsRequest)
{
    unsigned resets = 0;
    for (const HedgedOrder &order : hedgedOrders()) {
        const std::vector<ModelTarget> targets = play(order, CopyTo::OtherTarget);
        const bool isFlowSeen = order.isRequestBetween && order.firstInstance == order.lastInstance;
        const bool isReset = order.answers.size() == 2 && !isFlowSeen;
        EXPECT_EQ(targets[0].resets + targets[1].resets, isReset ? 1U : 0U)
            << order.answers.front() << order.isRequestBetween << order.firstInstance << order.lastInstance;
        resets += targets[0].resets + targets[1].resets;
    }
    EXPECT_EQ(resets, 12U) << "of 16 orders with two answers";
}

TEST(HedgedOpening, NoOrderLetsTwoTargetsRunARequest)
{
    for (const HedgedOrder &order : hedgedOrders()) {
        const std::vector<ModelTarget> targets = play(order, CopyTo::OtherTarget);
        EXPECT_FALSE(targets[0].runs > 0 && targets[1].runs > 0)
            << order.answers.front() << order.isRequestBetween << order.firstInstance << order.lastInstance;
    }
}

/// Guards against early retransmissions that reset a flow: the answers of one target have one number and one
/// token, so that every order of them ends at the target that holds the flow.
TEST(HedgedOpening, ACopyToTheSameTargetResetsNoFlow)
{
    for (const HedgedOrder &order : hedgedOrders()) {
        const std::vector<ModelTarget> targets = play(order, CopyTo::SameTarget);
        EXPECT_EQ(targets[0].resets + targets[1].resets, 0U)
            << order.answers.front() << order.isRequestBetween << order.firstInstance << order.lastInstance;
        EXPECT_EQ(targets[0].runs, order.isRequestBetween ? 2U : 1U) << "once for each request";
        EXPECT_EQ(targets[1].runs, 0U);
    }
}

} // namespace jasminequay::steering
