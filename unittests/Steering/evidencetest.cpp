// The decision table of docs/design/lost-targets.md, with one test for each row.
#include "jasminequay/Steering/targetevidence.h"

#include <gtest/gtest.h>

namespace jasminequay
{

using std::chrono::milliseconds;

static constexpr TimePoint Start = TimePoint(std::chrono::hours(1));

static TimePoint at(int offset)
{
    return Start + milliseconds(offset);
}

/// A target with progress at the start and none since.
class TargetEvidenceTest : public testing::Test
{
protected:
    TargetEvidenceTest()
    {
        evidence.recordProgress(Start);
    }

    TargetEvidence evidence;
};

TEST_F(TargetEvidenceTest, NoEvidenceMeansHealthy)
{
    EXPECT_EQ(evidence.verdict(at(10000)), TargetVerdict::Healthy);
    EXPECT_FALSE(evidence.needsProbe(at(10000)));
}

TEST_F(TargetEvidenceTest, OneRetransmissionMeansSuspectAndNeedsAProbe)
{
    evidence.recordRetransmission(1, at(200));
    EXPECT_EQ(evidence.verdict(at(200)), TargetVerdict::Suspect);
    EXPECT_TRUE(evidence.needsProbe(at(200)));
}

TEST_F(TargetEvidenceTest, OneRetransmissionAndARefusedProbeMeanDead)
{
    evidence.recordRetransmission(1, at(200));
    evidence.recordProbe(Reachability::Refused, at(200), at(202));
    EXPECT_EQ(evidence.verdict(at(202)), TargetVerdict::Dead);
}

TEST_F(TargetEvidenceTest, ARefusedProbeWithoutUnansweredPacketsIsNotEnough)
{
    evidence.recordPeerReport(at(100));
    evidence.recordProbe(Reachability::Refused, at(100), at(102));
    EXPECT_EQ(evidence.verdict(at(600)), TargetVerdict::Suspect);
}

TEST_F(TargetEvidenceTest, OneStalledFlowIsNotEnough)
{
    evidence.recordRetransmission(1, at(200));
    evidence.recordProbe(Reachability::Silent, at(200), at(450));
    EXPECT_EQ(evidence.verdict(at(450)), TargetVerdict::Suspect);
}

TEST_F(TargetEvidenceTest, TwoStalledFlowsAndASilentProbeMeanUnreachable)
{
    evidence.recordRetransmission(1, at(200));
    evidence.recordRetransmission(1, at(210));
    evidence.recordProbe(Reachability::Silent, at(200), at(450));
    EXPECT_EQ(evidence.verdict(at(450)), TargetVerdict::Unreachable);
}

TEST_F(TargetEvidenceTest, TwoRetransmissionsOfOneFlowAndASilentProbeMeanUnreachable)
{
    evidence.recordRetransmission(1, at(200));
    evidence.recordProbe(Reachability::Silent, at(200), at(450));
    evidence.recordRetransmission(2, at(600));
    EXPECT_EQ(evidence.verdict(at(600)), TargetVerdict::Unreachable);
}

TEST_F(TargetEvidenceTest, ASuccessfulProbeOutweighsStalledFlows)
{
    evidence.recordRetransmission(1, at(200));
    evidence.recordRetransmission(1, at(210));
    evidence.recordRetransmission(2, at(600));
    evidence.recordProbe(Reachability::Connected, at(600), at(602));
    EXPECT_EQ(evidence.verdict(at(602)), TargetVerdict::Suspect);
}

TEST_F(TargetEvidenceTest, ProgressClearsAllEvidence)
{
    evidence.recordRetransmission(1, at(200));
    evidence.recordProbe(Reachability::Refused, at(200), at(202));
    evidence.recordProgress(at(203));
    EXPECT_EQ(evidence.verdict(at(203)), TargetVerdict::Healthy);
    // The result of a probe that started before the progress is ignored.
    evidence.recordProbe(Reachability::Refused, at(202), at(204));
    EXPECT_EQ(evidence.verdict(at(204)), TargetVerdict::Healthy);
}

TEST_F(TargetEvidenceTest, APeerReportARetransmissionAndASilentProbeMeanUnreachable)
{
    evidence.recordPeerReport(at(100));
    evidence.recordRetransmission(1, at(300));
    evidence.recordProbe(Reachability::Silent, at(200), at(450));
    EXPECT_EQ(evidence.verdict(at(450)), TargetVerdict::Unreachable);
}

TEST_F(TargetEvidenceTest, SuspicionExpires)
{
    evidence.recordUnansweredOpening(at(200));
    EXPECT_EQ(evidence.verdict(at(1000)), TargetVerdict::Suspect);
    EXPECT_EQ(evidence.verdict(at(2000)), TargetVerdict::Healthy);
}

TEST_F(TargetEvidenceTest, ALossExpires)
{
    evidence.recordRetransmission(1, at(200));
    evidence.recordProbe(Reachability::Refused, at(200), at(202));
    EXPECT_EQ(evidence.verdict(at(2600)), TargetVerdict::Dead);
    EXPECT_EQ(evidence.verdict(at(2800)), TargetVerdict::Healthy);
}

TEST_F(TargetEvidenceTest, ProbesAreRateLimited)
{
    evidence.recordRetransmission(1, at(200));
    evidence.recordProbeStarted(at(200));
    EXPECT_FALSE(evidence.needsProbe(at(600)));
    EXPECT_TRUE(evidence.needsProbe(at(700)));
}

} // namespace jasminequay
