// Loads played against the real decisions without a network; each test names the pattern that it answers.
#include "jasminequay/Model/loadmodel.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace jasminequay
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns three data centres that are 46% busy on an ordinary day.
static LoadPlan ordinaryPlan()
{
    LoadPlan plan;
    plan.dataCentres = {{"dc-1", 3, 5, 130}, {"dc-2", 2, 5, 140}, {"dc-3", 1, 4, 130}};
    plan.freshShare = 0.5;
    plan.seed = 20261204;
    return plan;
}

static LoadResult play(LoadPlan plan, bool isLimited = true)
{
    plan.limits.isEnabled = isLimited;
    return LoadModel(std::move(plan)).run();
}

static LoadPlan surgePlan(double factor, Duration lasting = seconds(8))
{
    LoadPlan plan = ordinaryPlan();
    plan.events = {{LoadChange::Surge, "", factor, seconds(6), lasting}};
    return plan;
}

TEST(LoadModel, AnOrdinaryDayIsAnsweredInTimeAndNobodyIsRefused)
{
    const LoadResult result = play(ordinaryPlan());
    EXPECT_GT(result.measured.goodShare(), 0.99);
    EXPECT_EQ(result.refusedTries, 0U);
}

TEST(LoadModel, TheSameSeedPlaysTheSameDay)
{
    const LoadResult first = play(surgePlan(2.6));
    const LoadResult second = play(surgePlan(2.6));
    EXPECT_EQ(first.measured.inObjective, second.measured.inObjective);
    EXPECT_EQ(first.refusedTries, second.refusedTries);
    EXPECT_EQ(first.latencies, second.latencies);
}

TEST(LoadModel, EachCallIsCountedOnce)
{
    const LoadResult result = play(surgePlan(3.3));
    const CallCounts &counts = result.measured;
    EXPECT_EQ(counts.offered, counts.inObjective + counts.late + counts.unserved);
}

/// Answers a surge beyond what all targets can do: without a limit every queue is full and all wait.
TEST(LoadModel, ASurgeBeyondTheTargetsLeavesWhatTheyCanDo)
{
    std::vector<double> limited;
    for (const double factor : {2.6, 3.3, 4.0}) {
        const auto good = static_cast<double>(play(surgePlan(factor)).measured.inObjective);
        const auto without = static_cast<double>(play(surgePlan(factor), false).measured.inObjective);
        EXPECT_GT(good, 1.5 * without) << factor << " times the load";
        limited.push_back(good);
    }
    const double best = *std::max_element(limited.begin(), limited.end());
    for (const double good : limited) {
        EXPECT_GE(good, 0.95 * best);
    }
}

/// Answers metastable failure: callers that try again must not keep a service down after a surge.
TEST(LoadModel, ServiceIsBackWithinTwoSecondsAfterASurge)
{
    LoadPlan plan = surgePlan(4, seconds(5));
    plan.measureFrom = seconds(13);
    plan.measureTo = seconds(18);
    EXPECT_GT(play(plan).measured.goodShare(), 0.99);
}

/// Answers a surge in one data centre while the others have room.
TEST(LoadModel, ASurgeInOneDataCentreSpillsOver)
{
    LoadPlan plan = ordinaryPlan();
    plan.freshShare = 0.3;
    plan.events = {{LoadChange::Surge, "dc-1", 2, seconds(6), seconds(8)}};
    const LoadResult limited = play(plan);
    EXPECT_GE(limited.measured.goodShare(), 0.97);
    EXPECT_GT(limited.measured.goodShare(), play(plan, false).measured.goodShare());
    EXPECT_EQ(limited.measured.unserved, 0U) << "the others have room";
}

TEST(LoadModel, ADataCentreTakesItsWorkBackAfterASurge)
{
    LoadPlan plan = ordinaryPlan();
    plan.events = {{LoadChange::Surge, "dc-1", 3.5, seconds(6), seconds(4)}};
    plan.length = seconds(40);
    const LoadResult surged = play(plan);
    plan.events.clear();
    const LoadResult calm = play(plan);
    EXPECT_LT(surged.otherDataCentre, calm.otherDataCentre + 2000);
}

/// Answers targets that all turn slow in one data centre: new flows go where answers come sooner.
TEST(LoadModel, SlowTargetsOfADataCentreGetLessWork)
{
    LoadPlan plan = ordinaryPlan();
    const LoadResult calm = play(plan);
    plan.events = {{LoadChange::SlowTargets, "dc-1", 4, seconds(6), seconds(8)}};
    const LoadResult slow = play(plan);
    EXPECT_GT(slow.otherDataCentre, calm.otherDataCentre);
    EXPECT_GT(slow.measured.goodShare(), 0.75);
}

/// Answers targets that are lost at once with requests under way: they take up no room of the others.
TEST(LoadModel, LostTargetsLeaveTheOthersTheirRoom)
{
    LoadPlan plan = ordinaryPlan();
    plan.events = {{LoadChange::LostTargets, "dc-2", 0.4, seconds(6), seconds(8)}};
    const LoadResult result = play(plan);
    EXPECT_GT(static_cast<double>(result.measured.inObjective + result.measured.late),
        0.95 * static_cast<double>(result.measured.offered));
    EXPECT_LT(result.refusedTries, result.measured.offered / 20);
}

/// Answers full targets that turn requests away at once, newest or oldest.
TEST(LoadModel, QuickRefusalsOfTargetsDoNotMakeThingsWorse)
{
    for (const QueuePolicy policy : {QueuePolicy::RefuseNewest, QueuePolicy::DropOldest}) {
        LoadPlan plan = surgePlan(2.3);
        plan.queuePolicy = policy;
        plan.shedDelay = milliseconds(1);
        EXPECT_GE(play(plan).measured.inObjective, play(plan, false).measured.inObjective)
            << queuePolicyName(policy);
    }
}

} // namespace jasminequay
