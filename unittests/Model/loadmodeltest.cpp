// Overload patterns simulated against the real steering library without a network. The comment of a test
// names the failure that it guards against.
#include "jasminequay/Model/loadmodel.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace jasminequay
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns three data centres at 46% utilization.
static LoadPlan normalLoadPlan()
{
    LoadPlan plan;
    plan.dataCentres = {{"dc-1", 3, 5, 130}, {"dc-2", 2, 5, 140}, {"dc-3", 1, 4, 130}};
    plan.newFlowShare = 0.5;
    plan.seed = 20261204;
    return plan;
}

static LoadResult runPlan(LoadPlan plan, bool isLimited = true)
{
    plan.limits.isEnabled = isLimited;
    return LoadModel(std::move(plan)).run();
}

static LoadPlan surgePlan(double factor, Duration lasting = seconds(8))
{
    LoadPlan plan = normalLoadPlan();
    plan.events = {{LoadChange::Surge, "", factor, seconds(6), lasting}};
    return plan;
}

/// The share of single seeds varies by more than a hundredth, so the bound holds for their mean.
TEST(LoadModel, NormalLoadIsAnsweredInTimeWithoutRefusals)
{
    constexpr unsigned Seeds = 12;
    double sum = 0;
    LoadPlan plan = normalLoadPlan();
    for (unsigned run = 0; run < Seeds; ++run, ++plan.seed) {
        const LoadResult result = runPlan(plan);
        sum += result.measured.goodShare();
        EXPECT_EQ(result.refusedAttempts, 0U) << "seed " << plan.seed;
    }
    EXPECT_GT(sum / Seeds, 0.99);
}

TEST(LoadModel, SameSeedGivesTheSameResult)
{
    const LoadResult first = runPlan(surgePlan(2.6));
    const LoadResult second = runPlan(surgePlan(2.6));
    EXPECT_EQ(first.measured.withinObjective, second.measured.withinObjective);
    EXPECT_EQ(first.refusedAttempts, second.refusedAttempts);
    EXPECT_EQ(first.latencies, second.latencies);
}

TEST(LoadModel, EachCallIsCountedOnce)
{
    const LoadResult result = runPlan(surgePlan(3.3));
    const CallCounts &counts = result.measured;
    EXPECT_EQ(counts.offered, counts.withinObjective + counts.late + counts.unserved);
}

/// Guards against collapse of goodput under a surge beyond the capacity of all targets: without a limit every
/// queue is full and every request waits.
TEST(LoadModel, LimitKeepsGoodputBeyondTargetCapacity)
{
    std::vector<double> limited;
    for (const double factor : {2.6, 3.3, 4.0}) {
        const auto good = static_cast<double>(runPlan(surgePlan(factor)).measured.withinObjective);
        const auto without = static_cast<double>(runPlan(surgePlan(factor), false).measured.withinObjective);
        EXPECT_GT(good, 1.5 * without) << factor << " times the load";
        limited.push_back(good);
    }
    const double best = *std::max_element(limited.begin(), limited.end());
    for (const double good : limited) {
        EXPECT_GE(good, 0.95 * best);
    }
}

/// Guards against metastable failure, in which retries of callers keep a service overloaded after a surge.
TEST(LoadModel, ServiceRecoversWithinTwoSecondsAfterASurge)
{
    LoadPlan plan = surgePlan(4, seconds(5));
    plan.measureFrom = seconds(13);
    plan.measureTo = seconds(18);
    EXPECT_GT(runPlan(plan).measured.goodShare(), 0.99);
}

/// Guards against missed objectives during a surge in one data centre while the others have spare capacity.
TEST(LoadModel, SurgeInOneDataCentreSpillsOver)
{
    LoadPlan plan = normalLoadPlan();
    plan.newFlowShare = 0.3;
    plan.events = {{LoadChange::Surge, "dc-1", 2, seconds(6), seconds(8)}};
    const LoadResult limited = runPlan(plan);
    EXPECT_GE(limited.measured.goodShare(), 0.97);
    EXPECT_GT(limited.measured.goodShare(), runPlan(plan, false).measured.goodShare());
    EXPECT_EQ(limited.measured.unserved, 0U) << "the others have spare capacity";
}

TEST(LoadModel, FlowsReturnToTheirDataCentreAfterASurge)
{
    LoadPlan plan = normalLoadPlan();
    plan.events = {{LoadChange::Surge, "dc-1", 3.5, seconds(6), seconds(4)}};
    plan.length = seconds(40);
    const LoadResult surged = runPlan(plan);
    plan.events.clear();
    const LoadResult calm = runPlan(plan);
    EXPECT_LT(surged.otherDataCentre, calm.otherDataCentre + 2000);
}

/// Guards against overload of a data centre whose targets all become slow: new flows must go to targets that
/// answer sooner.
TEST(LoadModel, SlowTargetsOfADataCentreGetFewerFlows)
{
    LoadPlan plan = normalLoadPlan();
    const LoadResult calm = runPlan(plan);
    plan.events = {{LoadChange::SlowTargets, "dc-1", 4, seconds(6), seconds(8)}};
    const LoadResult slow = runPlan(plan);
    EXPECT_GT(slow.otherDataCentre, calm.otherDataCentre);
    EXPECT_GT(slow.measured.goodShare(), 0.75);
}

/// Guards against lost capacity after targets fail with requests outstanding: those requests must not count
/// against the limits of the other targets.
TEST(LoadModel, LostTargetsDoNotReduceTheCapacityOfOthers)
{
    LoadPlan plan = normalLoadPlan();
    plan.events = {{LoadChange::LostTargets, "dc-2", 0.4, seconds(6), seconds(8)}};
    const LoadResult result = runPlan(plan);
    EXPECT_GT(static_cast<double>(result.measured.withinObjective + result.measured.late),
        0.95 * static_cast<double>(result.measured.offered));
    EXPECT_LT(result.refusedAttempts, result.measured.offered / 20);
}

/// Guards against a limit that does harm where full targets reject requests at once, the newest or the
/// oldest.
TEST(LoadModel, FastRejectionByTargetsDoesNotReduceGoodput)
{
    for (const QueuePolicy policy : {QueuePolicy::RefuseNewest, QueuePolicy::DropOldest}) {
        LoadPlan plan = surgePlan(2.3);
        plan.queuePolicy = policy;
        plan.shedDelay = milliseconds(1);
        EXPECT_GE(runPlan(plan).measured.withinObjective, runPlan(plan, false).measured.withinObjective)
            << queuePolicyName(policy);
    }
}

} // namespace jasminequay
