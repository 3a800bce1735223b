// Entries that the store writes late: its target has started again, or has ended, meanwhile.
#include "steeringfixture.h"

#include <gtest/gtest.h>

namespace jasminequay::steering
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How long an entry that contradicts a target must stand before it counts.
constexpr Duration RivalGrace = DirectoryTiming().rivalGrace;

/// An instance that reads the store.
class ReadingInstance : public testing::Test
{
protected:
    explicit ReadingInstance(std::uint32_t targets)
        : instance(targets)
    {
    }

    void put(const TargetRecord &record)
    {
        instance.engine.targets().put(record, instance.now);
    }

    /// Advances the time in steps, at each of which the store has been read; returns the resets.
    std::vector<PendingReset> run(Duration duration)
    {
        constexpr Duration Step = milliseconds(500);
        std::vector<PendingReset> resets;
        for (const TimePoint end = instance.now + duration; instance.now < end;) {
            instance.now = std::min(instance.now + Step, end);
            instance.engine.markCurrentAt(instance.now);
            const std::vector<PendingReset> further = instance.engine.sweep(instance.now, 100);
            resets.insert(resets.end(), further.begin(), further.end());
        }
        return resets;
    }

    SteeredInstance instance;
};

/// An instance with a target that has started again under its id, and an open flow at the running start.
class LateWriteOfAnEarlierStart : public ReadingInstance
{
protected:
    LateWriteOfAnEarlierStart()
        : ReadingInstance(1)
    {
        put(running(5));
        placed = instance.open(1);
    }

    static TargetRecord earlier(std::uint64_t revision)
    {
        return targetOf(0, revision, 1);
    }
    static TargetRecord running(std::uint64_t revision)
    {
        return targetOf(0, revision, 700);
    }

    TargetPresence presenceOf(const TargetRecord &record)
    {
        return instance.engine.targets().find(record.identity.key())->presence;
    }

    /// Expects that the running start keeps its flow and gets new ones.
    void expectServing(std::uint32_t newCaller)
    {
        EXPECT_EQ(presenceOf(running(0)), TargetPresence::Listed);
        EXPECT_EQ(instance.take(dataOf(1, placed.token, 1001, 5000, 10)).action, SteeringAction::Forward);
        const SteeringDecision opening = instance.take(openingOf(newCaller));
        EXPECT_EQ(opening.action, SteeringAction::Forward);
        EXPECT_EQ(instance.engine.targets().findByToken(opening.token)->key, running(0).identity.key());
    }

    SteeringDecision placed;
};

/// Guards against a late heartbeat of an earlier start that ends the running one: all its open flows were
/// reset (docs/incidents/14.md, review/6).
TEST_F(LateWriteOfAnEarlierStart, DoesNotEndTheRunningStart)
{
    put(earlier(9));
    EXPECT_TRUE(run(milliseconds(50)).empty());
    expectServing(10);
    EXPECT_TRUE(run(milliseconds(1200)).empty());
    put(running(10));
    EXPECT_TRUE(run(2 * RivalGrace).empty());
    expectServing(20);
    EXPECT_EQ(presenceOf(earlier(0)), TargetPresence::Gone);
    EXPECT_EQ(instance.engine.targets().heldCount(), 0U);
}

/// Guards against the same by complete lists: each of them repeats the entry.
TEST_F(LateWriteOfAnEarlierStart, DoesNotEndItByCompleteLists)
{
    for (std::uint64_t revision = 9; revision < 13; ++revision) {
        instance.engine.targets().replaceAll({earlier(9)}, revision, instance.now);
        EXPECT_TRUE(run(milliseconds(300)).empty());
        expectServing(static_cast<std::uint32_t>(revision));
    }
}

/// Guards against an instance that starts while the late entry stands and believes only that: a peer passes
/// on the running start, whose entry is older in the store.
TEST_F(LateWriteOfAnEarlierStart, IsNotBelievedByAJoinerThatHearsOfTheRunningStart)
{
    for (const bool isListFirst : {true, false}) {
        TargetDirectory joiner;
        joiner.setServices({"desk"}, instance.now);
        joiner.put(isListFirst ? earlier(9) : running(5), instance.now);
        joiner.put(isListFirst ? running(5) : earlier(9), instance.now);
        const KnownTarget *const known = joiner.find(running(0).identity.key());
        ASSERT_NE(known, nullptr) << isListFirst;
        EXPECT_EQ(known->presence, TargetPresence::Listed) << isListFirst;
        ASSERT_EQ(joiner.targetsOfService("desk").size(), 1U) << isListFirst;
        EXPECT_EQ(joiner.heldCount(), 1U) << isListFirst;
    }
}

/// Guards against a running start that is forgotten when the late entry is removed: it has the grace of a
/// missing entry, and returns with its next heartbeat.
TEST_F(LateWriteOfAnEarlierStart, LeavesAMissingEntryWhenItIsRemoved)
{
    put(earlier(9));
    run(seconds(3));
    instance.engine.targets().remove("i-0", 10, instance.now);
    EXPECT_EQ(presenceOf(running(0)), TargetPresence::Lapsed);
    EXPECT_TRUE(run(seconds(1)).empty());
    put(running(11));
    EXPECT_TRUE(run(2 * RivalGrace).empty());
    expectServing(30);
}

/// Guards against a target that has started again after its clock went back and stays shut out: no late write
/// stands as long as its entry, which its heartbeats renew.
TEST_F(LateWriteOfAnEarlierStart, CountsOnceItHasOutlastedWhatALateWriteCanDo)
{
    run(seconds(1));
    put(earlier(9));
    run(RivalGrace - milliseconds(100));
    expectServing(40);
    // A change of the entry does not extend the time.
    put(earlier(12));
    const std::vector<PendingReset> resets = run(milliseconds(100));
    EXPECT_FALSE(resets.empty()) << "the flows of the other start are lost";
    EXPECT_EQ(presenceOf(earlier(0)), TargetPresence::Listed);
    EXPECT_EQ(presenceOf(running(0)), TargetPresence::Gone);
    // Now a late write of the start with the later time must not end it either.
    put(running(13));
    run(seconds(3));
    EXPECT_EQ(presenceOf(earlier(0)), TargetPresence::Listed);
}

/// Guards against an entry that counts as standing because the instance has heard nothing since.
TEST_F(LateWriteOfAnEarlierStart, DoesNotCountWhileTheStoreIsNotRead)
{
    put(earlier(9));
    instance.now += 2 * RivalGrace;
    EXPECT_TRUE(instance.engine.sweep(instance.now, 100).empty());
    EXPECT_EQ(presenceOf(running(0)), TargetPresence::Listed);
    put(running(10));
    EXPECT_TRUE(run(seconds(1)).empty());
    expectServing(50);
}

/// An instance with a target that has the address of one that has ended, and an open flow at it. Another
/// service has a target of its own.
class LateWriteOfAFormerTarget : public ReadingInstance
{
protected:
    LateWriteOfAFormerTarget()
        : ReadingInstance(0)
    {
        put(successor(5));
        placed = instance.open(1);
    }

    static TargetRecord former(std::uint64_t revision, std::int64_t startedAt = 1)
    {
        TargetRecord record = targetOf(1, revision, startedAt);
        record.address = targetOf(0).address;
        return record;
    }
    static TargetRecord successor(std::uint64_t revision)
    {
        return targetOf(0, revision, 700);
    }

    /// Expects that the successor keeps its flow, and whether it gets new ones.
    void expectServing(std::uint32_t newCaller, bool getsNewFlows = true)
    {
        EXPECT_EQ(instance.target(0, 700).presence, TargetPresence::Listed);
        EXPECT_EQ(instance.take(dataOf(1, placed.token, 1001, 5000, 10)).action, SteeringAction::Forward);
        const SteeringDecision opening = instance.take(openingOf(newCaller));
        EXPECT_EQ(opening.targetId == successor(0).identity.id, getsNewFlows);
    }

    SteeringDecision placed;
};

/// Guards against a late heartbeat of a target that has ended, which took its former address from the living
/// one: this was never listed again, and its flows were reset (docs/incidents/15.md, review/7).
TEST_F(LateWriteOfAFormerTarget, DoesNotEndTheOneThatHasTheAddress)
{
    put(former(9));
    EXPECT_TRUE(run(seconds(3)).empty());
    expectServing(10);
    instance.engine.targets().remove("i-1", 10, instance.now);
    EXPECT_TRUE(run(seconds(20)).empty());
    expectServing(20);
    EXPECT_EQ(instance.target(1).presence, TargetPresence::Gone);
}

/// Guards against the same in the order of a complete list or of an instance that starts later.
TEST_F(LateWriteOfAFormerTarget, DoesNotEndItInWhateverOrderTheyAreHeard)
{
    for (const bool isFormerFirst : {true, false}) {
        TargetDirectory joiner;
        joiner.setServices({"desk"}, instance.now);
        std::vector<TargetRecord> list{successor(5), former(9)};
        if (isFormerFirst) {
            std::swap(list[0], list[1]);
        }
        joiner.replaceAll(list, 12, instance.now);
        ASSERT_EQ(joiner.targetsOfService("desk").size(), 1U) << isFormerFirst;
        EXPECT_EQ(joiner.targetsOfService("desk").front()->record.name, "i-0") << isFormerFirst;
        EXPECT_EQ(joiner.find(former(0).identity.key())->presence, TargetPresence::Listed) << isFormerFirst;
    }
}

/// Guards against ending a target because the clock of another machine is ahead: it loses new flows only, and
/// only as long as the entry of the former one stands.
TEST_F(LateWriteOfAFormerTarget, WithALaterTimeTakesNewFlowsForAWhileOnly)
{
    put(former(9, 900));
    EXPECT_TRUE(run(seconds(3)).empty());
    expectServing(10, false);
    instance.engine.targets().remove("i-1", 10, instance.now);
    EXPECT_TRUE(run(milliseconds(500)).empty());
    expectServing(20);
}

/// Guards against a target that is lost for good because a probe once named another one at its address: its
/// heartbeats renew its entry.
TEST_F(LateWriteOfAFormerTarget, IsNotBelievedForGoodByAProbe)
{
    run(seconds(1));
    instance.engine.targets().markReplaced(successor(0).identity.key(), instance.now);
    run(RivalGrace - seconds(1));
    EXPECT_EQ(instance.target(0, 700).presence, TargetPresence::Gone);
    run(seconds(1));
    EXPECT_EQ(instance.target(0, 700).presence, TargetPresence::Listed);
    EXPECT_EQ(instance.engine.targets().targetsOfService("desk").size(), 1U);
}

} // namespace jasminequay::steering
