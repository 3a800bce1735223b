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

    /// Two probes in a row time out; the second one starts when the first has ended.
    void timeOutTwoProbes(int startMs)
    {
        evidence.recordProbe(Reachability::Silent, at(startMs), at(startMs + 150));
        evidence.recordProbe(Reachability::Silent, at(startMs + 150), at(startMs + 300));
    }

    /// Three probes in a row are refused.
    void refuseThreeProbes(int startMs)
    {
        for (const int offset : {0, 100, 200}) {
            evidence.recordProbe(Reachability::Refused, at(startMs + offset), at(startMs + offset + 2));
        }
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

TEST_F(TargetEvidenceTest, OneRetransmissionAndThreeRefusedProbesMeanDead)
{
    evidence.recordRetransmission(1, at(200));
    refuseThreeProbes(200);
    EXPECT_EQ(evidence.verdict(at(402)), TargetVerdict::Dead);
}

/// Guards against resetting the flows of a target that serves: in a surge a full target leaves packets
/// unanswered and refuses some of the connections, among them a probe.
TEST_F(TargetEvidenceTest, AFullTargetThatRefusesSomeProbesIsNotDead)
{
    evidence.recordRetransmission(1, at(200));
    evidence.recordRetransmission(1, at(210));
    evidence.recordProbe(Reachability::Refused, at(200), at(202));
    EXPECT_EQ(evidence.verdict(at(300)), TargetVerdict::Suspect);
    evidence.recordProbe(Reachability::Refused, at(300), at(302));
    EXPECT_EQ(evidence.verdict(at(302)), TargetVerdict::Suspect);
    evidence.recordProbe(Reachability::Connected, at(400), at(402));
    evidence.recordRetransmission(2, at(610));
    evidence.recordProbe(Reachability::Refused, at(900), at(902));
    EXPECT_EQ(evidence.verdict(at(902)), TargetVerdict::Suspect);
}

TEST_F(TargetEvidenceTest, ARefusedProbeIsRepeatedSoon)
{
    evidence.recordRetransmission(1, at(200));
    evidence.recordProbeStarted(at(200));
    evidence.recordProbe(Reachability::Refused, at(200), at(202));
    EXPECT_FALSE(evidence.needsProbe(at(250)));
    EXPECT_TRUE(evidence.needsProbe(at(300)));
}

TEST_F(TargetEvidenceTest, ARefusedProbeWithoutUnansweredPacketsIsNotEnough)
{
    evidence.recordPeerReport(at(100));
    refuseThreeProbes(100);
    EXPECT_EQ(evidence.verdict(at(600)), TargetVerdict::Suspect);
}

TEST_F(TargetEvidenceTest, OneStalledFlowIsNotEnough)
{
    evidence.recordRetransmission(1, at(200));
    timeOutTwoProbes(200);
    EXPECT_EQ(evidence.verdict(at(500)), TargetVerdict::Suspect);
}

TEST_F(TargetEvidenceTest, TwoStalledFlowsAndTwoSilentProbesMeanUnreachable)
{
    evidence.recordRetransmission(1, at(200));
    evidence.recordRetransmission(1, at(210));
    timeOutTwoProbes(200);
    EXPECT_EQ(evidence.verdict(at(500)), TargetVerdict::Unreachable);
}

/// Guards against resetting the flows of a live target from an instance whose own narrow link loses callers'
/// packets and a probe alike.
TEST_F(TargetEvidenceTest, OneSilentProbeIsNotEnough)
{
    evidence.recordRetransmission(1, at(200));
    evidence.recordRetransmission(1, at(210));
    evidence.recordRetransmission(2, at(600));
    evidence.recordProbe(Reachability::Silent, at(600), at(750));
    EXPECT_EQ(evidence.verdict(at(750)), TargetVerdict::Suspect);
    evidence.recordProbe(Reachability::Connected, at(750), at(752));
    evidence.recordProbe(Reachability::Silent, at(1250), at(1400));
    EXPECT_EQ(evidence.verdict(at(1400)), TargetVerdict::Suspect);
}

/// Guards against counting a flow that stalled seconds ago and has been idle since as a second witness.
TEST_F(TargetEvidenceTest, ExpiredEvidenceDoesNotCorroborate)
{
    evidence.recordRetransmission(1, at(200));
    evidence.recordRetransmission(1, at(2946));
    timeOutTwoProbes(2950);
    EXPECT_EQ(evidence.stalledFlows(), 1U);
    EXPECT_EQ(evidence.verdict(at(3250)), TargetVerdict::Suspect);
}

TEST_F(TargetEvidenceTest, ASilentProbeIsRepeatedAtOnce)
{
    evidence.recordRetransmission(1, at(200));
    evidence.recordProbeStarted(at(200));
    EXPECT_FALSE(evidence.needsProbe(at(300)));
    evidence.recordProbe(Reachability::Silent, at(200), at(350));
    EXPECT_TRUE(evidence.needsProbe(at(350)));
    evidence.recordProbeStarted(at(350));
    EXPECT_FALSE(evidence.needsProbe(at(360)));
    evidence.recordProbe(Reachability::Silent, at(350), at(500));
    EXPECT_FALSE(evidence.needsProbe(at(500)));
    EXPECT_TRUE(evidence.needsProbe(at(850)));
}

TEST_F(TargetEvidenceTest, TwoRetransmissionsOfOneFlowAndTwoSilentProbesMeanUnreachable)
{
    evidence.recordRetransmission(1, at(200));
    timeOutTwoProbes(200);
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
    refuseThreeProbes(200);
    evidence.recordProgress(at(403));
    EXPECT_EQ(evidence.verdict(at(403)), TargetVerdict::Healthy);
    // The result of a probe that started before the progress is ignored.
    evidence.recordRetransmission(1, at(404));
    refuseThreeProbes(202);
    EXPECT_EQ(evidence.verdict(at(404)), TargetVerdict::Suspect);
}

TEST_F(TargetEvidenceTest, APeerReportARetransmissionAndTwoSilentProbesMeanUnreachable)
{
    evidence.recordPeerReport(at(100));
    evidence.recordRetransmission(1, at(300));
    timeOutTwoProbes(200);
    EXPECT_EQ(evidence.verdict(at(500)), TargetVerdict::Unreachable);
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
    refuseThreeProbes(200);
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
