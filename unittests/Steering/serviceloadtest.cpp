// Tests of how an instance measures and limits the load of services.
#include "jasminequay/Steering/serviceload.h"
#include "jasminequay/Steering/targetpace.h"
#include "steeringfixture.h"

#include <gtest/gtest.h>

namespace jasminequay::steering
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The load of a service, measured from responses.
class ServiceLoadTest : public testing::Test
{
protected:
    /// Records a hundred responses a second that take a given share of their objective.
    void respond(double share, Duration lasting, std::uint32_t inFlight)
    {
        for (const TimePoint end = now + lasting; now < end; now += milliseconds(10)) {
            if (load.recordResponse(share, now)) {
                load.endInterval(inFlight, Slots, now);
            }
        }
    }

    static constexpr double Slots = 4;
    ServiceLoad load;
    TimePoint now = Start;
};

TEST_F(ServiceLoadTest, ResponsesWellWithinTheirObjectiveSetNoLimit)
{
    respond(0.3, seconds(5), 20);
    EXPECT_FALSE(load.isOverloaded(now));
    EXPECT_TRUE(load.admits(100000, 0, now));
}

/// Guards against limiting a peak of a tenth of a second, as when a neighbouring instance restarts.
TEST_F(ServiceLoadTest, AShortPeakSetsNoLimit)
{
    respond(0.3, seconds(1), 8);
    respond(1.5, milliseconds(100), 20);
    respond(0.3, seconds(1), 8);
    EXPECT_FALSE(load.isOverloaded(now));
}

/// Guards against a standing queue in a surge, in which all callers wait for the full length of the queue.
TEST_F(ServiceLoadTest, AStandingQueueIsLimitedToWhatMeetsTheObjective)
{
    respond(1.5, milliseconds(400), 30);
    ASSERT_TRUE(load.isOverloaded(now));
    EXPECT_LE(load.limit(), 30 * 0.5 / 1.5 + 0.01);
    EXPECT_FALSE(load.admits(30, 0, now));
    EXPECT_TRUE(load.admits(3, 0, now));
}

TEST_F(ServiceLoadTest, TheLimitNeverFallsBelowTheSlotsOfTheTargets)
{
    respond(3, seconds(5), 30);
    EXPECT_DOUBLE_EQ(load.limit(), Slots);
}

/// Guards against refusing flows after a surge: the limit must be lifted within a second.
TEST_F(ServiceLoadTest, TheLimitIsLiftedOnceTheLoadDrops)
{
    respond(1.5, seconds(2), 30);
    ASSERT_TRUE(load.isOverloaded(now));
    respond(0.25, seconds(1), 2);
    EXPECT_FALSE(load.isOverloaded(now));
}

TEST_F(ServiceLoadTest, TheLimitExpiresWithoutResponses)
{
    respond(1.5, seconds(1), 30);
    ASSERT_TRUE(load.isOverloaded(now));
    EXPECT_FALSE(load.isOverloaded(now + seconds(2)));
    EXPECT_EQ(load.objectiveShare(now + seconds(2)), 0);
}

TEST_F(ServiceLoadTest, HigherPrioritiesHaveHeadroomAboveLowerOnes)
{
    respond(1.5, seconds(1), 40);
    ASSERT_TRUE(load.isOverloaded(now));
    const auto atLimit = static_cast<std::uint32_t>(load.limit()) + 1;
    EXPECT_FALSE(load.admits(atLimit, 0, now));
    EXPECT_TRUE(load.admits(atLimit, 2, now));
}

/// Guards against fast refusals by full targets that hide the queue behind them.
TEST_F(ServiceLoadTest, FastRefusalsDoNotHideLateResponses)
{
    for (const TimePoint end = now + seconds(1); now < end; now += milliseconds(10)) {
        const bool isRefusal = (now - Start) / milliseconds(10) % 3 != 0;
        if (load.recordResponse(isRefusal ? 0.02 : 1.2, now)) {
            load.endInterval(30, Slots, now);
        }
    }
    EXPECT_TRUE(load.isOverloaded(now));
}

TEST(TargetPaceTest, TheShareOfASlowTargetDecays)
{
    TargetPace pace;
    TimePoint now = Start;
    for (int count = 0; count < 20; ++count) {
        pace.recordResponse(1.2, now += milliseconds(20));
    }
    EXPECT_NEAR(pace.objectiveShare(now), 1.2, 0.1);
    EXPECT_LT(pace.objectiveShare(now + seconds(4)), 0.15);
}

TEST(TargetPaceTest, FastRefusalsDoNotMakeAFullTargetLookFast)
{
    TargetPace pace;
    TimePoint now = Start;
    for (int count = 0; count < 30; ++count) {
        pace.recordResponse(count % 2 == 0 ? 1.2 : 0.02, now += milliseconds(20));
    }
    EXPECT_GT(pace.objectiveShare(now), 0.9);
}

/// An instance with a response time objective and targets in up to two data centres.
class LimitedInstance : public testing::Test
{
protected:
    LimitedInstance()
        : instance(0)
    {
        RouteConfiguration routes = routesOf(2, RequestKind::Idempotent);
        routes.routes.front().objective = milliseconds(100);
        instance.engine.replaceRoutes(std::move(routes), instance.now);
    }

    void addTargets(std::uint32_t first, std::uint32_t count, const std::string &dataCentre)
    {
        for (std::uint32_t number = first; number < first + count; ++number) {
            TargetRecord record = targetOf(number);
            record.dataCentre = dataCentre;
            instance.engine.targets().put(record, instance.now);
        }
    }

    /// Opens a flow and sends a request on it.
    SteeringDecision request(std::uint32_t caller)
    {
        const SteeringDecision placed = instance.take(openingOf(caller));
        if (placed.action == SteeringAction::Forward) {
            instance.take(dataOf(caller, placed.token, 1001, 5000, 100));
        }
        return placed;
    }

    /// Keeps a standing queue with requests that take twice their objective.
    void overload()
    {
        for (std::uint32_t caller = 0; caller < 400; ++caller) {
            const SteeringDecision placed = request(caller);
            if (placed.action == SteeringAction::Forward) {
                m_open.push_back({caller, placed});
            }
            instance.now += milliseconds(5);
            if (m_open.size() > 40) {
                const auto [done, decision] = m_open.front();
                m_open.erase(m_open.begin());
                instance.take(dataOf(done, decision.token, 1101, 6000, 0));
            }
            instance.engine.markCurrentAt(instance.now);
        }
    }

    SteeredInstance instance;

private:
    std::vector<std::pair<std::uint32_t, SteeringDecision>> m_open;
};

/// Guards against flows that wait in a queue in a surge beyond the capacity of all targets.
TEST_F(LimitedInstance, AnOverloadedServiceRefusesNewFlowsBeforeTheyReachATarget)
{
    addTargets(0, 2, "dc-1");
    overload();
    const SteeringDecision refused = instance.take(openingOf(1000));
    EXPECT_EQ(refused.action, SteeringAction::Reset);
    EXPECT_EQ(refused.cause, SteeringCause::ServiceFull);
    EXPECT_EQ(refused.targetId, 0U);
}

/// Guards against refusals in a surge in one data centre while another one has free capacity.
TEST_F(LimitedInstance, AFullDataCentreSpillsOverBeforeFlowsAreRefused)
{
    addTargets(0, 2, "dc-1");
    overload();
    addTargets(2, 20, "dc-2");
    const SteeringDecision placed = instance.take(openingOf(1000));
    EXPECT_EQ(placed.action, SteeringAction::Forward);
    EXPECT_GT(placed.targetId, targetOf(1).identity.id);
}

/// Guards against resetting, because of load, flows that were open before the surge.
TEST_F(LimitedInstance, OpenFlowsContinueWhileNewOnesAreRefused)
{
    addTargets(0, 2, "dc-1");
    const SteeringDecision before = instance.open(900);
    overload();
    EXPECT_EQ(instance.take(dataOf(900, before.token, 1001, 5000, 10)).action, SteeringAction::Forward);
    EXPECT_TRUE(instance.engine.sweep(instance.now, 100).empty());
}

/// Guards against refusing an admitted flow whose caller retransmits the opening packet while the service is
/// full.
TEST_F(LimitedInstance, ARetransmittedOpeningOfAnAdmittedFlowIsNotRefused)
{
    addTargets(0, 2, "dc-1");
    request(0);
    const SteeringDecision first = instance.take(openingOf(901));
    ASSERT_EQ(first.action, SteeringAction::Forward);
    overload();
    EXPECT_EQ(instance.take(openingOf(901, 1)).action, SteeringAction::Forward);
}

/// Guards against refusals due to requests that hang: one target stops responding with requests in flight
/// while a queue stands at the other one.
TEST_F(LimitedInstance, RequestsAtAStalledTargetDoNotCountAgainstTheLimit)
{
    addTargets(0, 2, "dc-1");
    std::uint32_t sequence = 1101;
    std::uint32_t acknowledged = 5000;
    SteeringDecision working;
    for (std::uint32_t caller = 0; caller < 30; ++caller) {
        const SteeringDecision placed = request(caller);
        working = caller == 0 ? placed : working;
        if (caller > 0 && placed.target == working.target) {
            instance.take(dataOf(caller, placed.token, 1101, 6000, 0));
        }
    }
    for (unsigned count = 0; count < 30; ++count) {
        instance.now += milliseconds(80);
        instance.engine.markCurrentAt(instance.now);
        acknowledged += 1000;
        instance.take(dataOf(0, working.token, sequence, acknowledged, 100));
        sequence += 100;
    }
    ASSERT_FALSE(instance.engine.serviceLoads().empty());
    ASSERT_TRUE(instance.engine.serviceLoads().begin()->second.isOverloaded(instance.now));
    EXPECT_EQ(instance.take(openingOf(1000)).action, SteeringAction::Forward);
}

/// Guards against an explanation that names a target of a full data centre as the one that gets new flows.
TEST_F(LimitedInstance, ThePreviewShowsAFullDataCentreAndWhereItsFlowsGo)
{
    addTargets(0, 2, "dc-1");
    overload();
    const auto preview = [&]() {
        return instance.engine.previewPlacement(*instance.engine.routes().at(Service), instance.now);
    };
    const PlacementPreview full = preview();
    EXPECT_EQ(full.refusedAsFull, full.samples);
    EXPECT_TRUE(full.services.front().dataCentres.at("dc-1").isFull);
    EXPECT_TRUE(full.services.front().dataCentres.at("dc-1").limit.has_value());
    EXPECT_EQ(full.services.front().ranking.front().reason, PlacementReason::DataCentreFull);
    addTargets(2, 20, "dc-2");
    const PlacementPreview spilled = preview();
    EXPECT_EQ(spilled.refusedAsFull, 0U);
    for (const PreviewedTarget &item : spilled.services.front().ranking) {
        EXPECT_TRUE(item.newFlows == 0 || item.target->record.dataCentre == "dc-2");
    }
}

} // namespace jasminequay::steering
