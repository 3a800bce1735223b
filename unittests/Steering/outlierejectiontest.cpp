// Tests of the ejection of targets that answer worse than the others of their service.
#include "jasminequay/Steering/outlierejection.h"

#include "jasminequay/Support/hash.h"

#include <gtest/gtest.h>

namespace jasminequay::steering
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A service with 30 targets in one data centre, as one instance sees it.
class OutlierEjectionTest : public testing::Test
{
protected:
    static constexpr std::size_t Targets = 30;

    static OutlierCandidate target(std::uint64_t key)
    {
        return {key, "desk", "dc-1", Targets, Targets};
    }

    void fail(std::uint64_t key)
    {
        outliers.recordFailure(target(key), now, now);
    }

    void succeed(std::uint64_t key)
    {
        outliers.recordSuccess(target(key), now, now);
    }

    void report(std::uint64_t key, std::uint64_t reporter, std::uint32_t count = 1, Duration age = {})
    {
        outliers.recordReport(target(key), reporter, {key, count, age}, now);
    }

    /// Lets other targets answer well, so that the service works as a whole.
    void answerElsewhere()
    {
        for (std::uint64_t key = 20; key < 30; ++key) {
            succeed(key);
        }
    }

    /// Ejects a target and advances to the end of its ejection; returns how long that took.
    Duration ejectAndWait(std::uint64_t key)
    {
        answerElsewhere();
        fail(key);
        fail(key);
        const TimePoint start = now;
        while (stage(key) == EjectionStage::Ejected) {
            now += milliseconds(10);
        }
        return now - start;
    }

    /// Returns how many of a thousand flows would try a target.
    [[nodiscard]] int trials(std::uint64_t key) const
    {
        int count = 0;
        for (std::uint64_t flow = 0; flow < 1000; ++flow) {
            count += outliers.isTrial(key, hashWords(flow, 1), now) ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] EjectionStage stage(std::uint64_t key) const
    {
        return outliers.stage(key, now);
    }

    OutlierEjection outliers;
    TimePoint now = TimePoint(seconds(1000));
};

/// Guards against a target that answers errors although it reports itself healthy and keeps its new flows.
TEST_F(OutlierEjectionTest, TwoFailuresWithinASecondEjectATarget)
{
    answerElsewhere();
    fail(1);
    EXPECT_EQ(stage(1), EjectionStage::Admitted);
    now += milliseconds(900);
    fail(1);
    EXPECT_EQ(stage(1), EjectionStage::Ejected);
    EXPECT_EQ(trials(1), 0);
    EXPECT_EQ(stage(2), EjectionStage::Admitted);
}

/// Guards against the ejection of targets whose answers fail once in a while.
TEST_F(OutlierEjectionTest, FailuresMoreThanASecondApartEjectNothing)
{
    for (int count = 0; count < 5; ++count) {
        answerElsewhere();
        fail(1);
        now += milliseconds(1100);
    }
    EXPECT_EQ(outliers.counters().ejections, 0U);
}

/// Guards against slow detection: one instance alone sees a target every two seconds.
TEST_F(OutlierEjectionTest, OneFailureHereAndOneReportedByAPeerEject)
{
    answerElsewhere();
    report(1, 77);
    EXPECT_EQ(stage(1), EjectionStage::Admitted);
    now += milliseconds(50);
    fail(1);
    EXPECT_EQ(stage(1), EjectionStage::Ejected);
}

TEST_F(OutlierEjectionTest, ReportsOfTwoPeersEjectWithoutAnObservationHere)
{
    report(1, 77);
    report(1, 78);
    EXPECT_EQ(stage(1), EjectionStage::Ejected);
}

/// Guards against a peer that is cut off from a target, or reports failures that do not exist.
TEST_F(OutlierEjectionTest, ReportsOfASinglePeerEjectNothing)
{
    for (int count = 0; count < 20; ++count) {
        for (std::uint64_t key = 0; key < Targets; ++key) {
            report(key, 77, 1000);
        }
        now += milliseconds(100);
    }
    EXPECT_EQ(outliers.counters().ejections, 0U);
}

/// Guards against a wrong peer that hides a bad target, as if all targets failed.
TEST_F(OutlierEjectionTest, ReportsOfASinglePeerPreventNothing)
{
    answerElsewhere();
    for (std::uint64_t key = 0; key < Targets; ++key) {
        report(key, 77, 1000);
    }
    fail(1);
    EXPECT_EQ(stage(1), EjectionStage::Ejected);
}

/// Guards against reports that an instance sends when it resumes after a pause.
TEST_F(OutlierEjectionTest, ReportsOfOldFailuresAreIgnored)
{
    answerElsewhere();
    fail(1);
    report(1, 77, 5, seconds(3));
    report(1, 78, 5, milliseconds(1000));
    EXPECT_EQ(stage(1), EjectionStage::Admitted);
    EXPECT_EQ(outliers.counters().outdatedReports, 2U);
}

/// Guards against a second ejection by failures from before or during the first one: only what happened after
/// its end counts.
TEST_F(OutlierEjectionTest, FailuresFromBeforeTheEndOfAnEjectionDoNotExtendIt)
{
    ejectAndWait(1);
    const TimePoint before = now - milliseconds(300);
    now += milliseconds(100);
    outliers.recordFailure(target(1), before, now);
    report(1, 77, 2, milliseconds(200));
    report(1, 78, 2, milliseconds(200));
    EXPECT_EQ(stage(1), EjectionStage::Probation);
    outliers.recordSuccess(target(1), before, now);
    EXPECT_EQ(stage(1), EjectionStage::Probation) << "the answer is to an earlier request";
}

/// Guards against ejecting targets for a failure that all have in common, such as a surge or a cut.
TEST_F(OutlierEjectionTest, NothingIsEjectedWhileTheServiceFailsAsAWhole)
{
    for (int round = 0; round < 30; ++round) {
        for (std::uint64_t key = 0; key < Targets; ++key) {
            key % 4 == 0 ? fail(key) : succeed(key);
        }
        now += milliseconds(100);
    }
    EXPECT_TRUE(outliers.isServiceFailing("desk", now));
    EXPECT_EQ(outliers.ejectedCount("desk", now), 0U);
    EXPECT_TRUE(outliers.takeReports(10, now).empty());
}

/// Guards against ejections in the first moments of a surge, before the share of failures shows it.
TEST_F(OutlierEjectionTest, EjectionsFromTheBeginningOfACommonFailureAreLifted)
{
    answerElsewhere();
    fail(1);
    fail(1);
    ASSERT_EQ(stage(1), EjectionStage::Ejected);
    now += milliseconds(100);
    for (std::uint64_t key = 2; key < 12; ++key) {
        fail(key);
    }
    EXPECT_EQ(stage(1), EjectionStage::Admitted);
}

/// Guards against ejections by refusals that an admission limit leaves over: they are below the share at
/// which a service counts as failing, but spread over all targets.
TEST_F(OutlierEjectionTest, FailuresSpreadOverAllTargetsEjectFewOfThem)
{
    std::size_t ejected = 0;
    for (std::uint64_t step = 0; step < 10000; ++step) {
        succeed(step % Targets);
        if (step % 8 == 0) {
            report(hashWords(step, 1) % Targets, 70 + step % 5);
        }
        now += milliseconds(3);
        ejected = std::max(ejected, outliers.ejectedCount("desk", now));
    }
    EXPECT_LE(ejected, 3U);
}

/// Guards against too few targets for the load: a wrong measurement must not take most of a service away.
TEST_F(OutlierEjectionTest, AtMostTwoFifthsOfAServiceAreEjected)
{
    for (std::uint64_t key = 0; key < Targets; ++key) {
        report(key, 77, 2);
        report(key, 78, 2);
        now += milliseconds(160);
    }
    EXPECT_EQ(outliers.ejectedCount("desk", now), 12U);
}

/// Guards against many requests at a target that may still fail: few flows try it, one at a time.
TEST_F(OutlierEjectionTest, ProbationAdmitsOneOpeningAtATime)
{
    EXPECT_EQ(ejectAndWait(1), seconds(1));
    ASSERT_EQ(stage(1), EjectionStage::Probation);
    EXPECT_NEAR(trials(1), 1000 / 32.0, 20);
    outliers.recordOpening(1, now);
    EXPECT_EQ(trials(1), 0);
    now += milliseconds(40);
    succeed(1);
    EXPECT_EQ(stage(1), EjectionStage::Admitted);
}

/// Guards against a target that is tried again and again: the time doubles with each failed try.
TEST_F(OutlierEjectionTest, AFailureOnProbationEjectsAtOnceForTwiceTheTime)
{
    EXPECT_EQ(ejectAndWait(1), seconds(1));
    for (const Duration expected : {seconds(2), seconds(4), seconds(8), seconds(8)}) {
        answerElsewhere();
        outliers.recordOpening(1, now);
        fail(1);
        ASSERT_EQ(stage(1), EjectionStage::Ejected);
        now += expected - milliseconds(1);
        EXPECT_EQ(stage(1), EjectionStage::Ejected);
        now += milliseconds(1);
        EXPECT_EQ(stage(1), EjectionStage::Probation);
    }
    succeed(1);
    now += seconds(10);
    EXPECT_EQ(ejectAndWait(1), seconds(1)) << "the time starts anew after ten seconds";
}

/// Guards against targets that are lost for good where no route is repeatable.
TEST_F(OutlierEjectionTest, ATargetThatNothingTriesIsReadmittedAfterAWhile)
{
    ejectAndWait(1);
    now += milliseconds(3900);
    outliers.expire(now);
    EXPECT_EQ(stage(1), EjectionStage::Probation);
    now += milliseconds(200);
    outliers.expire(now);
    EXPECT_EQ(stage(1), EjectionStage::Admitted);
}

TEST_F(OutlierEjectionTest, ReportsNameTheFailuresSinceThePreviousReport)
{
    answerElsewhere();
    fail(1);
    now += milliseconds(20);
    const std::vector<TargetFailures> reports = outliers.takeReports(23, now);
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports.front().targetKey, 1U);
    EXPECT_EQ(reports.front().count, 1U);
    EXPECT_EQ(reports.front().age, milliseconds(20));
    EXPECT_TRUE(outliers.takeReports(23, now).empty());
}

/// Guards against control traffic that grows with failures: ten messages a second, fewer with many peers.
TEST_F(OutlierEjectionTest, TheRateOfReportsIsBounded)
{
    for (const auto &[peers, maximum] : {std::pair(5U, 40U), std::pair(166U, 3U)}) {
        now += seconds(100);
        unsigned sent = 0;
        for (const TimePoint end = now + seconds(4); now < end; now += milliseconds(50)) {
            answerElsewhere();
            fail(1);
            sent += outliers.takeReports(peers, now).empty() ? 0 : 1;
        }
        EXPECT_LE(sent, maximum);
        EXPECT_GT(sent, maximum / 2);
    }
}

TEST_F(OutlierEjectionTest, EjectionsAndReadmissionsAreEvents)
{
    ejectAndWait(1);
    outliers.recordOpening(1, now);
    succeed(1);
    const std::vector<EjectionEvent> events = outliers.takeEvents();
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events[0].stage, EjectionStage::Ejected);
    EXPECT_EQ(events[0].failures, 2U);
    EXPECT_EQ(events[1].stage, EjectionStage::Admitted);
    EXPECT_TRUE(outliers.takeEvents().empty());
}

} // namespace jasminequay::steering
