// Shortage patterns simulated at full size with admission by priority: 68 instances, each with its own
// state, and 120 targets in three data centres. The comment of a test names the failure that it guards
// against.
#include "jasminequay/Model/loadmodel.h"

#include <gtest/gtest.h>

#include <numeric>

namespace jasminequay
{

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The routes of the plan.
constexpr std::uint32_t Checks = 0;
constexpr std::uint32_t Payouts = 1;

/// When the change of a plan begins and ends.
constexpr Duration Begin = seconds(4);
constexpr Duration End = seconds(10);

/// Returns a plan with status checks of priority 2 and payouts of priority 1, which use 65 of 240 slots.
static LoadPlan calmPlan()
{
    LoadPlan plan;
    const double rate = 1474.0 / 3;
    plan.dataCentres = {{"dc-1", 24, 40, rate}, {"dc-2", 23, 40, rate}, {"dc-3", 21, 40, rate}};
    plan.routes = {{986.0 / 1474, 2, true, milliseconds(40)}, {488.0 / 1474, 1, false, milliseconds(52)}};
    plan.objective = milliseconds(500);
    plan.deadline = milliseconds(2500);
    plan.shedDelay = milliseconds(5);
    plan.dataCentreDelay = microseconds(500);
    plan.newFlowShare = 1;
    plan.length = seconds(13);
    plan.measureFrom = Begin;
    plan.measureTo = End;
    plan.seed = 20261206;
    plan.admitsByPriority = true;
    return plan;
}

static LoadPlan surgePlan(double factor, const std::string &dataCentre = "")
{
    LoadPlan plan = calmPlan();
    plan.events = {{LoadChange::Surge, dataCentre, factor, Begin, End - Begin}};
    return plan;
}

static LoadResult runPlan(LoadPlan plan)
{
    return LoadModel(std::move(plan)).run();
}

/// Returns the share of the calls that were answered within their deadline.
static double servedShare(const CallCounts &calls)
{
    return 1 - static_cast<double>(calls.unserved) / static_cast<double>(calls.offered);
}

/// Returns the share of the requests that targets turned away.
static double turnedAwayShare(const LoadResult &result)
{
    return static_cast<double>(result.shedAttempts) / static_cast<double>(result.sentAttempts);
}

/// Returns the number of refused openings from a second of the run on.
static std::uint64_t refusedSince(const LoadResult &result, Duration since)
{
    return std::accumulate(
        result.refusedBySecond.begin() + since / seconds(1), result.refusedBySecond.end(), std::uint64_t{});
}

/// Guards against refusals at normal load, in which single intervals look like a surge by chance.
TEST(PriorityAdmissionModel, NormalLoadRefusesNothing)
{
    LoadPlan plan = calmPlan();
    for (unsigned run = 0; run < 3; ++run, ++plan.seed) {
        EXPECT_EQ(runPlan(plan).refusedAttempts, 0U) << "seed " << plan.seed;
    }
}

/// Guards against payouts that full targets turn away in a surge of all kinds, whichever way they do it.
/// Where they reset flows, payouts are lost.
TEST(PriorityAdmissionModel, PayoutsAreServedInASurgeOfAllKinds)
{
    for (const TurnAway turnAway : {TurnAway::Refuse, TurnAway::LeaveUnanswered, TurnAway::Reset}) {
        LoadPlan plan = surgePlan(5);
        plan.turnAway = turnAway;
        const LoadResult result = runPlan(plan);
        EXPECT_GE(servedShare(result.routes[Payouts]), 0.97) << static_cast<int>(turnAway);
        EXPECT_LT(turnedAwayShare(result), 0.05) << static_cast<int>(turnAway);
        // 240 slots of which payouts use 127 leave room for 0.57 of the status checks.
        EXPECT_GT(result.routes[Checks].goodShare(), 0.8 * 0.57) << static_cast<int>(turnAway);
    }
}

TEST(PriorityAdmissionModel, PayoutsAreServedInASurgeOfStatusChecks)
{
    LoadPlan plan = surgePlan(9);
    plan.events.front().route = Checks;
    const LoadResult result = runPlan(plan);
    EXPECT_GE(servedShare(result.routes[Payouts]), 0.97);
    EXPECT_LT(turnedAwayShare(result), 0.05);
    // 215 of 355 slots.
    EXPECT_GT(result.routes[Checks].goodShare(), 0.8 * 0.61);
}

/// Guards against refusals while two data centres have room.
TEST(PriorityAdmissionModel, ASurgeInOneDataCentreSpillsOver)
{
    const LoadResult result = runPlan(surgePlan(5, "dc-1"));
    EXPECT_GE(result.measured.goodShare(), 0.99);
    EXPECT_LT(turnedAwayShare(result), 0.02);
}

/// Guards against a limit that outlasts a surge. Calls that were refused in the surge are still retried in
/// the first second after it.
TEST(PriorityAdmissionModel, NothingIsRefusedAfterASurge)
{
    const LoadResult result = runPlan(surgePlan(5));
    EXPECT_EQ(refusedSince(result, End + seconds(1)), 0U);
    EXPECT_GT(result.seconds[End / seconds(1)].goodShare(), 0.97);
}

/// Guards against refusals in a surge that the targets can bear.
TEST(PriorityAdmissionModel, ASurgeWithinCapacityIsServed)
{
    const LoadResult result = runPlan(surgePlan(2.5));
    EXPECT_GE(result.measured.goodShare(), 0.99);
}

/// Guards against limiting a service because a tenth of its targets fails all requests.
TEST(PriorityAdmissionModel, AFewBrokenTargetsLimitNothing)
{
    LoadPlan plan = calmPlan();
    plan.events = {{LoadChange::FailingTargets, "", 0.1, Begin, End - Begin}};
    const LoadResult result = runPlan(plan);
    EXPECT_LE(result.refusedAttempts, result.measured.offered / 1000);
    EXPECT_GE(result.measured.goodShare(), 0.99);
}

/// Guards against limiting a service whose targets all work at half their speed and have room.
TEST(PriorityAdmissionModel, SlowTargetsWithRoomLimitNothing)
{
    LoadPlan plan = calmPlan();
    plan.events = {{LoadChange::SlowTargets, "", 2, Begin, End - Begin}};
    const LoadResult result = runPlan(plan);
    EXPECT_LE(result.refusedAttempts, result.measured.offered / 1000);
}

/// Guards against payouts that are lost while a third of the targets is gone at three times the load.
TEST(PriorityAdmissionModel, PayoutsAreServedWhileAThirdOfTheTargetsIsLost)
{
    LoadPlan plan = surgePlan(3);
    plan.events.push_back({LoadChange::LostTargets, "", 0.3, Begin + seconds(1), seconds(5)});
    const LoadResult result = runPlan(plan);
    EXPECT_GE(servedShare(result.routes[Payouts]), 0.97);
    EXPECT_LT(turnedAwayShare(result), 0.05);
}

/// Guards against payouts that are lost while the targets of a data centre come back cold.
TEST(PriorityAdmissionModel, PayoutsAreServedWhileADataCentreComesBackCold)
{
    LoadPlan plan = surgePlan(2.5);
    plan.events.push_back({LoadChange::LostTargets, "dc-2", 0.99, seconds(1), seconds(3)});
    plan.events.push_back({LoadChange::SlowTargets, "dc-2", 2, seconds(4), seconds(4)});
    const LoadResult result = runPlan(plan);
    EXPECT_GE(servedShare(result.routes[Payouts]), 0.97);
    EXPECT_LT(turnedAwayShare(result), 0.05);
}

} // namespace jasminequay
