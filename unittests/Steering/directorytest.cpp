#include "steeringfixture.h"

#include <gtest/gtest.h>

namespace jasminequay::steering
{

using std::chrono::milliseconds;
using std::chrono::seconds;

static void ignoreForgotten(std::uint64_t)
{
}

static TargetPresence presenceOf(TargetDirectory &directory, const TargetRecord &record)
{
    return directory.find(record.identity.key())->presence;
}

TEST(TargetDirectory, OlderEntriesNeverReplaceNewerOnes)
{
    TargetDirectory directory;
    TargetRecord draining = targetOf(0, 9);
    draining.isDraining = true;
    directory.put(draining, Start);
    directory.put(targetOf(0, 8), Start);
    EXPECT_TRUE(directory.find(draining.identity.key())->record.isDraining);
    directory.remove("i-0", 12, Start);
    directory.put(targetOf(0, 11), Start);
    EXPECT_EQ(presenceOf(directory, draining), TargetPresence::Lapsed);
}

TEST(TargetDirectory, AMissingEntryMayReturnForTwoSecondsAndThenTheTargetIsGone)
{
    TargetDirectory directory;
    directory.put(targetOf(0, 1), Start);
    directory.put(targetOf(1, 1), Start);
    directory.remove("i-0", 2, Start);
    directory.remove("i-1", 2, Start);
    directory.expire(Start + seconds(2), ignoreForgotten);
    EXPECT_EQ(presenceOf(directory, targetOf(0)), TargetPresence::Lapsed);
    directory.put(targetOf(0, 3), Start + seconds(2));
    directory.expire(Start + seconds(3), ignoreForgotten);
    EXPECT_EQ(presenceOf(directory, targetOf(0)), TargetPresence::Listed);
    EXPECT_EQ(presenceOf(directory, targetOf(1)), TargetPresence::Gone);
}

TEST(TargetDirectory, ARestartUnderTheSameIdEndsThePreviousTarget)
{
    TargetDirectory directory;
    directory.setServices({"desk"}, Start);
    const TargetRecord before = targetOf(0, 1, 100);
    const TargetRecord after = targetOf(0, 2, 200);
    directory.put(before, Start);
    const SteeringToken token = directory.tokenFor(*directory.find(before.identity.key()), 0);
    directory.put(after, Start + milliseconds(1));
    EXPECT_EQ(presenceOf(directory, before), TargetPresence::Gone);
    EXPECT_EQ(presenceOf(directory, after), TargetPresence::Listed);
    EXPECT_EQ(directory.findByToken(token)->key, before.identity.key());
    ASSERT_EQ(directory.targetsOfService("desk").size(), 1U);
    EXPECT_EQ(directory.targetsOfService("desk").front()->key, after.identity.key());
}

/// Replaces a test that wanted the previous target ended at once: a late write ended living targets that way
/// (docs/incidents/15.md). It gets no new flows from the same moment on, and ends with its entry.
TEST(TargetDirectory, AReusedAddressTakesTheNewFlowsOfItsPreviousTarget)
{
    TargetDirectory directory;
    directory.setServices({"desk", "guides"}, Start);
    directory.put(targetOf(0, 1), Start);
    TargetRecord other = targetOf(1, 5);
    other.address = targetOf(0).address;
    other.service = "guides";
    directory.put(other, Start);
    EXPECT_TRUE(directory.find(targetOf(0).identity.key())->isDisplaced);
    EXPECT_TRUE(directory.targetsOfService("desk").empty());
    // An older entry that arrives later does not take the address back.
    TargetRecord late = targetOf(2, 3);
    late.address = targetOf(0).address;
    directory.put(late, Start);
    EXPECT_TRUE(directory.find(late.identity.key())->isDisplaced);
    EXPECT_TRUE(directory.targetsOfService("desk").empty());
    EXPECT_EQ(presenceOf(directory, other), TargetPresence::Listed);
    EXPECT_FALSE(directory.find(other.identity.key())->isDisplaced);
    for (const char *const name : {"i-0", "i-2"}) {
        directory.remove(name, 8, Start);
    }
    directory.expire(Start + seconds(3), ignoreForgotten);
    EXPECT_EQ(presenceOf(directory, targetOf(0)), TargetPresence::Gone);
    EXPECT_EQ(presenceOf(directory, late), TargetPresence::Gone);
    EXPECT_EQ(directory.targetsOfService("guides").size(), 1U);
}

/// Guards against packets for the old target at an endpoint that restarted under a new id while the store was
/// unavailable. This happened in an incident (docs/incidents/3.md).
TEST(TargetDirectory, AnAddressAtWhichAnotherProcessAnswersEndsTheTarget)
{
    TargetDirectory directory;
    directory.put(targetOf(0, 5), Start);
    directory.markReplaced(targetOf(0).identity.key(), Start);
    EXPECT_EQ(presenceOf(directory, targetOf(0)), TargetPresence::Gone);
    // An update from a peer that does not know it yet, or a complete read of the same revision, does not
    // restore the target.
    directory.put(targetOf(0, 5), Start);
    EXPECT_EQ(presenceOf(directory, targetOf(0)), TargetPresence::Gone);
    directory.put(targetOf(0, 6), Start);
    EXPECT_EQ(presenceOf(directory, targetOf(0)), TargetPresence::Listed);
}

TEST(TargetDirectory, EndedTargetsAreKeptForTheLifetimeOfAFlow)
{
    TargetDirectory directory;
    directory.put(targetOf(0, 1), Start);
    directory.remove("i-0", 2, Start);
    std::size_t forgotten = 0;
    const auto count = [&](std::uint64_t) {
        ++forgotten;
    };
    directory.expire(Start + seconds(3), count);
    directory.expire(Start + seconds(62), count);
    EXPECT_EQ(forgotten, 0U);
    directory.expire(Start + seconds(64), count);
    EXPECT_EQ(forgotten, 1U);
    EXPECT_TRUE(directory.targets().empty());
}

/// Guards against checking all of 4,100 targets 20 times a second: an instance checks only targets that are
/// not listed or have recent evidence against them.
TEST(TargetDirectory, OnlyUnlistedOrUnresponsiveTargetsAreWatched)
{
    constexpr std::uint32_t Targets = 4100;
    SteeredInstance instance(Targets);
    TargetDirectory &targets = instance.engine.targets();
    EXPECT_TRUE(targets.watched().empty());
    const SteeringDecision placed = instance.open(1);
    instance.take(dataOf(1, placed.token, 1001, 5000, 100));
    instance.take(dataOf(1, placed.token, 1001, 5000, 100), milliseconds(200));
    EXPECT_EQ(targets.watched().size(), 1U) << "a caller has retransmitted data";
    targets.remove(targetOf(7).name, 50, instance.now);
    instance.engine.sweep(instance.now, 100);
    EXPECT_EQ(targets.watched().size(), 2U) << "an entry is missing";
    targets.put(targetOf(7, 60), instance.now);
    instance.engine.sweep(instance.now + seconds(10), 100);
    EXPECT_TRUE(targets.watched().empty()) << "the entry has returned, and there is no recent evidence";
}

TEST(TargetDirectory, ACompleteListRemovesMissingEntries)
{
    TargetDirectory directory;
    directory.put(targetOf(0, 1), Start);
    directory.put(targetOf(1, 9), Start);
    directory.replaceAll({targetOf(2, 4)}, 5, Start);
    EXPECT_EQ(presenceOf(directory, targetOf(0)), TargetPresence::Lapsed);
    EXPECT_EQ(presenceOf(directory, targetOf(1)), TargetPresence::Listed)
        << "the list is older than the entry";
    EXPECT_EQ(presenceOf(directory, targetOf(2)), TargetPresence::Listed);
}

TEST(RouteTable, VersionsOnlyGrow)
{
    RouteTable routes;
    EXPECT_TRUE(routes.replaceAll(routesOf(7)));
    EXPECT_FALSE(routes.replaceAll(routesOf(7)));
    EXPECT_FALSE(routes.replaceAll(RouteConfiguration{3, {}, {}, {}}));
    EXPECT_NE(routes.at(Service), nullptr);
    EXPECT_TRUE(routes.replaceAll(RouteConfiguration{8, {}, {}, {}}));
    EXPECT_EQ(routes.at(Service), nullptr);
}

TEST(RouteTable, EachServiceGetsItsShareOfTheFlows)
{
    Route route;
    route.services = {{"a", 90}, {"b", 10}, {"c", 0}};
    std::size_t first = 0;
    constexpr std::size_t Flows = 20000;
    for (std::uint32_t caller = 0; caller < Flows; ++caller) {
        const auto order = serviceOrder(route, flowOf(caller).hash());
        ASSERT_EQ(order.size(), 2U) << "a service without weight gets nothing";
        first += order.front()->service == "a" ? 1 : 0;
    }
    EXPECT_NEAR(static_cast<double>(first) / Flows, 0.9, 0.01);
}

} // namespace jasminequay::steering
