// Entries that other programs leave among those of the targets. They name no target to use, so they must not
// affect the targets that live.
#include "steeringfixture.h"

#include <gtest/gtest.h>

namespace jasminequay::steering
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns an entry of a service that no route names, with the address of a target.
static TargetRecord foreignEntryAt(const TargetRecord &target, std::uint64_t revision)
{
    TargetRecord record = targetOf(900, revision);
    record.name = "asset-385";
    record.address = target.address;
    record.service = "asset-inventory";
    return record;
}

/// An instance with one target and an open flow at it.
class ForeignEntry : public testing::Test
{
protected:
    ForeignEntry()
        : instance(1)
        , placed(instance.open(1))
    {
    }

    void put(const TargetRecord &record)
    {
        instance.engine.targets().put(record, instance.now);
    }

    /// Expects that the target is listed, keeps its flow and takes new ones, now and after the grace period
    /// of missing entries.
    void expectUnaffected(std::uint32_t newCaller)
    {
        for (const Duration later : {milliseconds(50), milliseconds(4000)}) {
            instance.now += later;
            instance.engine.markCurrentAt(instance.now);
            EXPECT_TRUE(instance.engine.sweep(instance.now, 100).empty());
            EXPECT_EQ(instance.target(0).presence, TargetPresence::Listed);
            EXPECT_EQ(instance.take(dataOf(1, placed.token, 1001, 5000, 10)).action, SteeringAction::Forward);
            const SteeringDecision opening = instance.take(openingOf(newCaller++));
            EXPECT_EQ(opening.action, SteeringAction::Forward);
            EXPECT_EQ(opening.targetId, targetOf(0).identity.id);
        }
    }

    SteeredInstance instance;
    SteeringDecision placed;
};

/// Guards against resetting the flows of a living target because another program's entry has its address.
/// This failed in docs/incidents/9.md.
TEST_F(ForeignEntry, WithTheAddressOfATargetDoesNotEndIt)
{
    put(foreignEntryAt(targetOf(0), 50));
    expectUnaffected(10);
    instance.engine.targets().remove("asset-385", 60, instance.now);
    expectUnaffected(20);
}

/// Guards against the same in the other order: a complete list may name the entry first, and its revision may
/// be newer than that of the target.
TEST_F(ForeignEntry, ThatIsKnownBeforeTheTargetDoesNotEndIt)
{
    const TargetRecord late = targetOf(5, 3);
    put(foreignEntryAt(late, 50));
    put(late);
    EXPECT_EQ(instance.target(5).presence, TargetPresence::Listed);
    instance.engine.targets().replaceAll(
        {foreignEntryAt(late, 50), targetOf(0), late}, 60, instance.now + milliseconds(1));
    EXPECT_EQ(instance.target(5).presence, TargetPresence::Listed);
    EXPECT_EQ(instance.target(0).presence, TargetPresence::Listed);
}

/// Guards against taking an entry that another program left under a target's name for a restart of the
/// target. The target's entry has been replaced, so it counts as missing until the target writes it again.
TEST_F(ForeignEntry, UnderTheNameOfATargetCountsAsAMissingEntry)
{
    std::uint64_t revision = 50;
    for (const std::int64_t startedAt : {std::int64_t{0}, targetOf(0).identity.startedAt}) {
        TargetRecord foreign = targetOf(0, ++revision, startedAt);
        foreign.service = "asset-inventory";
        put(foreign);
        EXPECT_EQ(instance.target(0).presence, TargetPresence::Lapsed);
        EXPECT_TRUE(instance.engine.sweep(instance.now + seconds(1), 100).empty());
        EXPECT_EQ(instance.target(0).record.service, "desk");
        put(targetOf(0, ++revision));
        expectUnaffected(30);
    }
}

/// Guards against an entry under another name, with the id and start of a target, that takes the target over.
TEST_F(ForeignEntry, WithTheIdentityOfATargetDoesNotReplaceIt)
{
    for (const char *const service : {"asset-inventory", "desk"}) {
        TargetRecord copy = targetOf(0, 50);
        copy.name = "backup-of-i-0";
        copy.service = service;
        copy.address.port = 9999;
        put(copy);
        EXPECT_EQ(instance.target(0).record.name, "i-0");
        EXPECT_EQ(instance.target(0).record.address, targetOf(0).address);
        expectUnaffected(50);
        instance.engine.targets().remove(copy.name, 55, instance.now);
        expectUnaffected(60);
    }
}

/// Guards against targets that are never used because they published themselves before the routes named their
/// service: from then on their entries count in full, also against an older target at the address.
TEST_F(ForeignEntry, IsATargetOnceTheRoutesNameItsService)
{
    TargetRecord early = targetOf(7, 50);
    early.service = "guides";
    put(early);
    TargetRecord successor = foreignEntryAt(targetOf(0), 51);
    successor.service = "guides";
    put(successor);
    expectUnaffected(70);
    RouteConfiguration routes = routesOf(2);
    routes.routes.push_back({"g", {{0xc6120002}, 443}, RequestKind::Idempotent, seconds(1), {{"guides", 1}}});
    instance.engine.replaceRoutes(routes, instance.now);
    EXPECT_EQ(instance.engine.targets().targetsOfService("guides").size(), 2U);
    EXPECT_TRUE(instance.target(0).isDisplaced) << "its address belongs to a newer target";
    EXPECT_TRUE(instance.engine.targets().targetsOfService("desk").empty());
    EXPECT_EQ(instance.target(7).presence, TargetPresence::Listed);
}

/// Guards against ending targets whose service a later configuration does not name: their flows go on, and
/// they may report that they drain.
TEST_F(ForeignEntry, IsNotWhatATargetBecomesWhenItsServiceIsNoLongerNamed)
{
    RouteConfiguration routes = routesOf(2);
    routes.routes.front().services = {{"other", 1}};
    instance.engine.replaceRoutes(routes, instance.now);
    TargetRecord draining = targetOf(0, 50);
    draining.isDraining = true;
    put(draining);
    EXPECT_EQ(instance.target(0).presence, TargetPresence::Listed);
    EXPECT_TRUE(instance.target(0).record.isDraining);
    EXPECT_TRUE(instance.engine.sweep(instance.now + seconds(5), 100).empty());
    EXPECT_EQ(instance.take(dataOf(1, placed.token, 1001, 5000, 10)).action, SteeringAction::Forward);
}

/// An instance that hears of a target and of a copy of its entry, which another program keeps under a name
/// with the same digits for a service that no route names.
class CopiedEntry : public testing::TestWithParam<int>
{
protected:
    CopiedEntry()
    {
        directory.setServices({"desk"}, Start);
    }

    static TargetRecord copyOf(std::uint32_t number, std::uint64_t revision)
    {
        TargetRecord copy = targetOf(number, revision);
        copy.name = "copy-" + std::to_string(number);
        copy.service = "asset-inventory";
        return copy;
    }

    /// Tells the directory of the copy and of the target in the order and by the way of the parameter.
    void hear()
    {
        const std::vector<TargetRecord> copyFirst{copyOf(0, 3), targetOf(0, 2)};
        const std::vector<TargetRecord> targetFirst{targetOf(0, 2), copyOf(0, 3)};
        const std::vector<TargetRecord> &order = GetParam() % 2 == 0 ? copyFirst : targetFirst;
        if (GetParam() < 2) {
            directory.replaceAll(order, 5, Start);
            return;
        }
        for (const TargetRecord &record : order) {
            directory.put(record, Start);
        }
    }

    void expectListed(TimePoint now)
    {
        directory.expire(now, [](std::uint64_t) {});
        ASSERT_EQ(directory.targetsOfService("desk").size(), 1U);
        const KnownTarget &target = *directory.targetsOfService("desk").front();
        EXPECT_EQ(target.presence, TargetPresence::Listed);
        EXPECT_EQ(target.record.name, "i-0");
    }

    TargetDirectory directory;
};

/// Guards against living targets that are taken for gone because another program removes its copies of their
/// entries: all their flows were reset and all new ones refused for good (docs/incidents/16.md, review/8).
TEST_P(CopiedEntry, MayBeRemoved)
{
    hear();
    expectListed(Start + milliseconds(1));
    directory.remove("copy-0", 9, Start + milliseconds(2));
    expectListed(Start + seconds(20));
}

/// Guards against the same by a complete list that lacks the copy.
TEST_P(CopiedEntry, MayBeMissingFromACompleteList)
{
    hear();
    directory.replaceAll({targetOf(0, 2)}, 9, Start + milliseconds(2));
    expectListed(Start + seconds(20));
}

/// Guards against a copy that keeps a target listed whose own entry is gone.
TEST_P(CopiedEntry, DoesNotStandForTheTarget)
{
    hear();
    directory.remove("i-0", 9, Start);
    directory.expire(Start + seconds(3), [](std::uint64_t) {});
    EXPECT_EQ(directory.find(targetOf(0).identity.key())->presence, TargetPresence::Gone);
    EXPECT_TRUE(directory.targetsOfService("desk").empty());
    directory.put(targetOf(0, 10), Start + seconds(3));
    expectListed(Start + seconds(20));
}

/// Guards against a target that is known by its copy only because the copy was heard before the routes that
/// name the target's service.
TEST_P(CopiedEntry, GivesWayWhenTheRoutesNameTheService)
{
    directory = TargetDirectory();
    hear();
    directory.setServices({"desk"}, Start);
    expectListed(Start + milliseconds(1));
    directory.remove("copy-0", 9, Start + milliseconds(2));
    expectListed(Start + seconds(20));
}

INSTANTIATE_TEST_SUITE_P(OrdersAndWays, CopiedEntry, testing::Range(0, 4));

/// Guards against a joiner that resets the flows of a target whose service the routes no longer name: only a
/// copy of its entry is removed.
TEST(CopiedEntries, OfAServiceThatIsNoLongerNamedEndNothing)
{
    for (const bool isCopyFirst : {true, false}) {
        TargetDirectory joiner;
        joiner.setServices({"other"}, Start);
        TargetRecord copy = targetOf(0, 3);
        copy.name = "copy-0";
        copy.service = "asset-inventory";
        joiner.put(isCopyFirst ? copy : targetOf(0, 2), Start);
        joiner.put(isCopyFirst ? targetOf(0, 2) : copy, Start);
        joiner.remove("copy-0", 9, Start);
        joiner.expire(Start + seconds(20), [](std::uint64_t) {});
        const KnownTarget *const target = joiner.find(targetOf(0).identity.key());
        ASSERT_NE(target, nullptr);
        EXPECT_EQ(target->presence, TargetPresence::Listed) << isCopyFirst;
        EXPECT_EQ(target->record.name, "i-0") << isCopyFirst;
    }
}

} // namespace jasminequay::steering
