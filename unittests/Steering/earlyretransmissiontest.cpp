// Tests of early retransmission with an engine, injected time and no sockets.
#include "openingmodel.h"
#include "steeringfixture.h"

#include "jasminequay/Steering/retransmissionrules.h"

#include <gtest/gtest.h>

#include <random>

namespace jasminequay::steering
{

using std::chrono::milliseconds;

/// An instance with early retransmission. Its datagrams consist of the number of their caller.
class RetransmittingInstance : public SteeredInstance
{
public:
    explicit RetransmittingInstance(
        double share = 0.2, RequestKind kind = RequestKind::Idempotent, std::uint32_t targets = 1)
        : SteeredInstance(targets, kind)
    {
        early.setShare(share);
    }

    /// Handles a packet as the packet path does.
    SteeringDecision handle(const PlainPacket &packet, Duration after = milliseconds(1))
    {
        const SteeringDecision decision = take(packet, after);
        early.recordPacket(packet.fields, now);
        if (const auto awaited = awaitedPacket(engine, packet.fields, decision, now)) {
            early.await(*awaited, datagramOf(packet.fields.flow), now);
        }
        return decision;
    }

    /// Opens flows whose openings are each answered after `time`.
    void openFlows(std::uint32_t first, std::uint32_t count, Duration time)
    {
        for (std::uint32_t caller = first; caller < first + count; ++caller) {
            const SteeringDecision placed = handle(openingOf(caller));
            handle(dataOf(caller, placed.token, 1001, 5000, 0), time);
        }
    }

    /// Checks pending packets every 5 ms for `period`; returns the copies.
    std::vector<RetransmittedDatagram> wait(Duration period)
    {
        std::vector<RetransmittedDatagram> copies;
        for (const TimePoint end = now + period; now < end;) {
            now += milliseconds(5);
            const auto due = early.due(now, [this](std::uint64_t key, const SteeredFlow &flow) {
                return mayRetransmit(engine, key, flow, now);
            });
            for (const RetransmittedDatagram &copy : due) {
                engine.recordEarlyRetransmission(copy.flow, now);
                copies.push_back(copy);
            }
        }
        return copies;
    }

    static std::vector<std::uint8_t> datagramOf(const SteeredFlow &flow)
    {
        return {
            static_cast<std::uint8_t>(flow.caller.port >> 8), static_cast<std::uint8_t>(flow.caller.port)};
    }

    EarlyRetransmission early;
};

/// Guards against a lost opening that costs its caller the 200 ms until it retransmits, and against a copy
/// that is not the same datagram to the same target.
TEST(EarlyRetransmissionTest, ALostOpeningIsAnsweredAfterOneQuantile)
{
    RetransmittingInstance instance(0.2, RequestKind::Idempotent, 3);
    instance.openFlows(1, 100, milliseconds(8));
    const SteeringDecision placed = instance.handle(openingOf(500));
    const TimePoint sentAt = instance.now;
    std::vector<RetransmittedDatagram> copies;
    while (copies.empty() && instance.now - sentAt < milliseconds(200)) {
        copies = instance.wait(milliseconds(5));
    }
    ASSERT_EQ(copies.size(), 1U);
    EXPECT_EQ(copies[0].target, placed.target);
    EXPECT_EQ(copies[0].bytes, RetransmittingInstance::datagramOf(flowOf(500)));
    const SteeringDecision next = instance.handle(dataOf(500, placed.token, 1001, 5000, 50), milliseconds(8));
    EXPECT_EQ(next.target, placed.target);
    EXPECT_LE(instance.now - sentAt, milliseconds(8 + 15));
    EXPECT_EQ(instance.early.counters().answered, 1U);
}

/// Guards against a lost request that waits for its caller, and against copies of answered requests.
TEST(EarlyRetransmissionTest, OnlyARequestWithoutAnswerIsSentOnceMore)
{
    RetransmittingInstance instance;
    instance.openFlows(1, 1, milliseconds(1));
    const SteeringToken token = instance.engine.flows().find(flowOf(1))->token;
    std::uint32_t sequence = 1001;
    for (std::uint32_t request = 0; request < 100; ++request, sequence += 50) {
        instance.handle(dataOf(1, token, sequence, 5000 + request, 50));
        EXPECT_TRUE(instance.wait(milliseconds(20)).empty());
        instance.handle(dataOf(1, token, sequence + 50, 5001 + request, 0));
    }
    instance.handle(dataOf(1, token, sequence, 5100, 50));
    EXPECT_EQ(instance.wait(milliseconds(20)).size(), 0U);
    EXPECT_EQ(instance.wait(milliseconds(10)).size(), 1U);
    EXPECT_EQ(instance.wait(milliseconds(190)).size(), 0U) << "a packet is copied once";
}

/// Guards against copies of requests of several packets, of which a target may hold any part.
TEST(EarlyRetransmissionTest, ARequestOfSeveralPacketsIsNotSentOnceMore)
{
    RetransmittingInstance instance;
    instance.openFlows(1, 1, milliseconds(1));
    const SteeringToken token = instance.engine.flows().find(flowOf(1))->token;
    instance.handle(dataOf(1, token, 1001, 5000, 50));
    instance.handle(dataOf(1, token, 1051, 5000, 50), Duration::zero());
    instance.handle(dataOf(1, token, 1101, 5000, 50));
    EXPECT_EQ(instance.early.pendingCount(), 0U);
    EXPECT_TRUE(instance.wait(milliseconds(200)).empty());
}

/// Guards against copies of what may run only once.
TEST(EarlyRetransmissionTest, NothingOfANonIdempotentRouteIsSentOnceMore)
{
    for (const RequestKind kind :
        {RequestKind::NonIdempotent, RequestKind::Idempotent, RequestKind::Download}) {
        RetransmittingInstance instance(0.2, kind);
        const SteeringDecision placed = instance.handle(openingOf(1));
        const std::size_t openings = instance.wait(milliseconds(150)).size();
        instance.handle(dataOf(1, placed.token, 1001, 5000, 50));
        const std::size_t requests = instance.wait(milliseconds(150)).size();
        const std::size_t expected = kind == RequestKind::NonIdempotent ? 0 : 1;
        EXPECT_EQ(openings, expected) << requestKindName(kind);
        EXPECT_EQ(requests, expected) << requestKindName(kind);
        EXPECT_EQ(instance.early.counters().covered, 2 * expected) << requestKindName(kind);
    }
}

/// Guards against a copy of a packet that was sent while the route could still be repeated.
TEST(EarlyRetransmissionTest, ARouteThatBecomesNonIdempotentGetsNoCopies)
{
    RetransmittingInstance instance;
    instance.handle(openingOf(1));
    instance.engine.replaceRoutes(routesOf(2, RequestKind::NonIdempotent), instance.now);
    EXPECT_TRUE(instance.wait(milliseconds(200)).empty());
}

/// Guards against more than one early copy of a packet, and against copies of the caller's own copies.
TEST(EarlyRetransmissionTest, RetransmissionsOfCallersAreNotCovered)
{
    RetransmittingInstance instance;
    const SteeringDecision placed = instance.handle(openingOf(1));
    EXPECT_EQ(instance.wait(milliseconds(200)).size(), 1U);
    instance.handle(openingOf(1, 1));
    instance.handle(openingOf(2, 1));
    EXPECT_TRUE(instance.wait(milliseconds(200)).empty());
    instance.handle(dataOf(1, placed.token, 1001, 5000, 50));
    EXPECT_EQ(instance.wait(milliseconds(200)).size(), 1U);
    instance.handle(dataOf(1, placed.token, 1001, 5000, 50));
    EXPECT_TRUE(instance.wait(milliseconds(200)).empty());
    EXPECT_EQ(instance.early.counters().covered, 2U);
}

/// Guards against copies of what another instance may have sent before.
TEST(EarlyRetransmissionTest, AFlowThatWasNotSeenBeforeIsNotCovered)
{
    RetransmittingInstance instance;
    const SteeringDecision placed = instance.handle(openingOf(1));
    const SteeringDecision decision = instance.handle(dataOf(2, placed.token, 1001, 5000, 50));
    EXPECT_EQ(decision.action, SteeringAction::Forward);
    EXPECT_EQ(instance.early.counters().covered, 1U);
}

/// Guards against state and work where the operators did not ask for early retransmission.
TEST(EarlyRetransmissionTest, NothingIsKeptWhenOff)
{
    RetransmittingInstance instance(0);
    instance.handle(openingOf(1));
    EXPECT_EQ(instance.early.pendingCount(), 0U);
    EXPECT_TRUE(instance.wait(milliseconds(200)).empty());
    instance.early.setShare(0.2);
    instance.handle(openingOf(2));
    EXPECT_EQ(instance.early.pendingCount(), 1U);
    instance.early.setShare(0);
    EXPECT_EQ(instance.early.pendingCount(), 0U);
    EXPECT_TRUE(instance.wait(milliseconds(200)).empty());
    EXPECT_EQ(instance.early.counters().sent, 0U);
}

/// Guards against copies beyond the limit of the operators, in any second. One in 25 openings is lost, and
/// answered after its copy.
TEST(EarlyRetransmissionTest, CopiesStayWithinTheShareInAnySecond)
{
    constexpr double Share = 0.005;
    constexpr std::size_t StepsPerSecond = 200;
    std::mt19937_64 random(20261206);
    EarlyRetransmission early;
    early.setShare(Share);
    std::vector<EarlyRetransmissionCounters> totals; // after each step
    TimePoint now = Start;
    for (std::uint32_t step = 0, caller = 0; step < 10 * StepsPerSecond; ++step, now += milliseconds(5)) {
        for (std::uint64_t packets = random() % 4; packets > 0; --packets) {
            const PacketSummary opening = openingOf(++caller).fields;
            early.await({opening.flow, true, true, 0, 1, "dc-1", {}}, std::vector<std::uint8_t>(40), now);
            if (random() % 25 != 0) {
                early.recordPacket(dataOf(caller, NoToken, 1001, 5000, 0).fields, now + milliseconds(2));
            }
        }
        for (const RetransmittedDatagram &copy :
            early.due(now, [](std::uint64_t, const SteeredFlow &) { return true; })) {
            PacketSummary answer;
            answer.flow = copy.flow;
            early.recordPacket(answer, now);
        }
        totals.push_back(early.counters());
    }
    EXPECT_GT(totals.back().suppressedByBudget, 0U);
    for (std::size_t end = StepsPerSecond; end < totals.size(); ++end) {
        const EarlyRetransmissionCounters &before = totals[end - StepsPerSecond];
        const auto covered = static_cast<double>(totals[end].covered - before.covered);
        const auto sent = static_cast<double>(totals[end].sent - before.sent);
        ASSERT_LE(sent, Share * covered + RetransmissionBudget::Burst) << end;
    }
}

/// Guards against a budget that is reported as exhausted forever, or as regained with each packet.
TEST(EarlyRetransmissionTest, AnExhaustedBudgetIsRegainedByCoveredPackets)
{
    RetransmissionBudget budget;
    budget.setShare(0.1);
    unsigned taken = 0;
    while (budget.take()) {
        ++taken;
    }
    EXPECT_EQ(taken, 4U);
    EXPECT_TRUE(budget.isExhausted());
    for (unsigned packet = 0; packet < 15; ++packet) {
        budget.recordPacket();
    }
    EXPECT_TRUE(budget.isExhausted());
    for (unsigned packet = 0; packet < 10; ++packet) {
        budget.recordPacket();
    }
    EXPECT_FALSE(budget.isExhausted());
}

/// Guards against more load on targets that are failing, ending or full.
TEST(EarlyRetransmissionTest, TargetsInTroubleGetNoCopies)
{
    const std::vector<std::function<void(RetransmittingInstance &)>> troubles{
        [](auto &instance) { instance.target(0).evidence.recordUnansweredOpening(instance.now); },
        [](auto &instance) { instance.target(0).evidence.recordPeerReport(instance.now); },
        [](auto &instance) { instance.engine.targets().remove("i-0", 2, instance.now); },
        [](auto &instance) {
            instance.engine.targets().markReplaced(targetOf(0).identity.key(), instance.now);
        },
        [](auto &instance) { instance.target(0).record.isDraining = true; },
    };
    for (std::size_t trouble = 0; trouble < troubles.size(); ++trouble) {
        RetransmittingInstance instance;
        instance.handle(openingOf(1));
        troubles[trouble](instance);
        EXPECT_TRUE(instance.wait(milliseconds(200)).empty()) << trouble;
        EXPECT_EQ(instance.early.counters().suppressedByLoad, 1U) << trouble;
    }
}

/// Guards against copies that keep an overloaded service overloaded.
TEST(EarlyRetransmissionTest, AnOverloadedServiceGetsNoCopies)
{
    RetransmittingInstance instance;
    RouteConfiguration routes = routesOf(2);
    routes.routes.front().objective = milliseconds(100);
    instance.engine.replaceRoutes(std::move(routes), instance.now);
    for (std::uint32_t round = 0; round < 4; ++round) {
        for (std::uint32_t caller = 1; caller <= 10; ++caller) {
            const SteeringDecision placed = instance.handle(openingOf(100 * round + caller));
            instance.handle(dataOf(100 * round + caller, placed.token, 1001, 5000, 50));
        }
        instance.now += milliseconds(90);
        for (std::uint32_t caller = 1; caller <= 10; ++caller) {
            const SteeringToken token = instance.engine.flows().find(flowOf(100 * round + caller))->token;
            instance.handle(dataOf(100 * round + caller, token, 1051, 6000, 0));
        }
    }
    ASSERT_TRUE(instance.engine.serviceLoads().begin()->second.isOverloaded(instance.now));
    const SteeringToken token = instance.engine.flows().find(flowOf(301))->token;
    instance.handle(dataOf(301, token, 1051, 6000, 50));
    EXPECT_TRUE(instance.wait(milliseconds(150)).empty());
    EXPECT_EQ(instance.early.counters().suppressedByLoad, 1U);
}

/// Guards against copies during an outage or overload of a data centre, whose openings are overdue together.
TEST(EarlyRetransmissionTest, ManyOverdueOpeningsSuppressCopies)
{
    RetransmittingInstance instance;
    instance.openFlows(1, 100, milliseconds(1));
    instance.handle(openingOf(500), milliseconds(10));
    EXPECT_EQ(instance.wait(milliseconds(20)).size(), 1U) << "a single one is taken for a lost packet";
    instance.openFlows(600, 100, milliseconds(1));
    for (std::uint32_t caller = 700; caller < 710; ++caller) {
        instance.handle(openingOf(caller), Duration::zero());
    }
    EXPECT_TRUE(instance.wait(milliseconds(200)).empty());
    EXPECT_EQ(instance.early.counters().suppressedByLoad, 10U);
}

/// Guards against copies by an instance that was paused: the callers' own copies are under way.
TEST(EarlyRetransmissionTest, NothingIsSentAfterAPause)
{
    RetransmittingInstance instance;
    instance.handle(openingOf(1));
    instance.now += milliseconds(180);
    EXPECT_TRUE(instance.wait(milliseconds(100)).empty());
    EXPECT_EQ(instance.early.pendingCount(), 0U);
}

/// Guards against two targets that answer one opening: a late early copy and the caller's own copy. Without
/// an answer the caller's copy must still go to another target.
TEST(EarlyRetransmissionTest, ACallersCopyStaysAtTheTargetWhileTheEarlyCopyMayBeAnswered)
{
    for (const int late : {30, 80}) {
        RetransmittingInstance instance(0.2, RequestKind::Idempotent, 2);
        const SteeringDecision first = instance.handle(openingOf(1));
        ASSERT_EQ(instance.wait(milliseconds(120)).size(), 1U);
        const SteeringDecision second = instance.handle(openingOf(1, 1), milliseconds(late));
        EXPECT_EQ(second.targetId == first.targetId, late < 40) << late;
    }
}

/// Guards against unbounded memory: the oldest pending packet is dropped, and large ones are not kept.
TEST(EarlyRetransmissionTest, PendingPacketsAreBounded)
{
    EarlyRetransmission early;
    early.setShare(0.2);
    const std::vector<std::uint8_t> bytes(EarlyRetransmission::MaximumDatagramSize + 1);
    early.await({flowOf(1), true, true, 0, 1, "dc-1", {}}, bytes, Start);
    EXPECT_EQ(early.pendingCount(), 0U);
    for (std::uint32_t caller = 2; caller < 3000; ++caller) {
        early.await({flowOf(caller), true, true, 0, 1, "dc-1", {}}, std::span(bytes).first(40), Start);
        ASSERT_LE(early.pendingCount(), EarlyRetransmission::MaximumPendingPackets);
    }
    EXPECT_EQ(early.pendingCount(), EarlyRetransmission::MaximumPendingPackets);
}

/// Guards against a quantile that follows a few answers, ignores the slowest ones, or never forgets old ones.
TEST(DelayQuantileTest, FollowsRecentDelays)
{
    DelayQuantile quantile;
    TimePoint now = Start;
    for (unsigned count = 0; count < 49; ++count) {
        quantile.record(milliseconds(10), now);
    }
    EXPECT_FALSE(quantile.value());
    for (unsigned count = 0; count < 1000; ++count, now += milliseconds(10)) {
        quantile.record(milliseconds(count % 50 == 0 ? 80 : 10), now);
    }
    EXPECT_GE(quantile.value(), milliseconds(80));
    EXPECT_LE(quantile.value(), milliseconds(88));
    for (unsigned count = 0; count < 10000; ++count, now += milliseconds(10)) {
        quantile.record(milliseconds(10), now);
    }
    EXPECT_LE(quantile.value(), milliseconds(11));
}

} // namespace jasminequay::steering
