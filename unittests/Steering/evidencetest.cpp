// The decision table of docs/design/lost-targets.md, a row a test.
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

/// A target that answered at the start and was not heard of since.
class Evidence : public testing::Test
{
protected:
    Evidence()
    {
        evidence.noteProgress(Start);
    }

    TargetEvidence evidence;
};

TEST_F(Evidence, NothingSeenIsHealthy)
{
    EXPECT_EQ(evidence.verdict(at(10000)), TargetVerdict::Healthy);
    EXPECT_FALSE(evidence.wantsProbe(at(10000)));
}

TEST_F(Evidence, OneRepeatIsASuspicionAndAsksForAProbe)
{
    evidence.noteRepeat(1, at(200));
    EXPECT_EQ(evidence.verdict(at(200)), TargetVerdict::Suspect);
    EXPECT_TRUE(evidence.wantsProbe(at(200)));
}

TEST_F(Evidence, OneRepeatAndARefusalIsADeadTarget)
{
    evidence.noteRepeat(1, at(200));
    evidence.noteProbe(Reachability::Refused, at(200), at(202));
    EXPECT_EQ(evidence.verdict(at(202)), TargetVerdict::Dead);
}

TEST_F(Evidence, ARefusalAloneProvesNothing)
{
    evidence.notePeerReport(at(100));
    evidence.noteProbe(Reachability::Refused, at(100), at(102));
    EXPECT_EQ(evidence.verdict(at(600)), TargetVerdict::Suspect);
}

TEST_F(Evidence, OneSilentFlowIsNoProof)
{
    evidence.noteRepeat(1, at(200));
    evidence.noteProbe(Reachability::Silent, at(200), at(450));
    EXPECT_EQ(evidence.verdict(at(450)), TargetVerdict::Suspect);
}

TEST_F(Evidence, TwoSilentFlowsAndASilentProbeIsNoPath)
{
    evidence.noteRepeat(1, at(200));
    evidence.noteRepeat(1, at(210));
    evidence.noteProbe(Reachability::Silent, at(200), at(450));
    EXPECT_EQ(evidence.verdict(at(450)), TargetVerdict::Unreachable);
}

TEST_F(Evidence, AFlowThatRepeatsTwiceAndASilentProbeIsNoPath)
{
    evidence.noteRepeat(1, at(200));
    evidence.noteProbe(Reachability::Silent, at(200), at(450));
    evidence.noteRepeat(2, at(600));
    EXPECT_EQ(evidence.verdict(at(600)), TargetVerdict::Unreachable);
}

TEST_F(Evidence, AConnectionThatOpensContradictsSilentFlows)
{
    evidence.noteRepeat(1, at(200));
    evidence.noteRepeat(1, at(210));
    evidence.noteRepeat(2, at(600));
    evidence.noteProbe(Reachability::Connected, at(600), at(602));
    EXPECT_EQ(evidence.verdict(at(602)), TargetVerdict::Suspect);
}

TEST_F(Evidence, AnyProgressClearsEverything)
{
    evidence.noteRepeat(1, at(200));
    evidence.noteProbe(Reachability::Refused, at(200), at(202));
    evidence.noteProgress(at(203));
    EXPECT_EQ(evidence.verdict(at(203)), TargetVerdict::Healthy);
    // A health answer that is false does not outweigh a flow that moves.
    evidence.noteProbe(Reachability::Refused, at(202), at(204));
    EXPECT_EQ(evidence.verdict(at(204)), TargetVerdict::Healthy);
}

TEST_F(Evidence, APeerAndOneRepeatWithASilentProbeIsNoPath)
{
    evidence.notePeerReport(at(100));
    evidence.noteRepeat(1, at(300));
    evidence.noteProbe(Reachability::Silent, at(200), at(450));
    EXPECT_EQ(evidence.verdict(at(450)), TargetVerdict::Unreachable);
}

TEST_F(Evidence, SuspicionAges)
{
    evidence.noteUnansweredOpening(at(200));
    EXPECT_EQ(evidence.verdict(at(1000)), TargetVerdict::Suspect);
    EXPECT_EQ(evidence.verdict(at(2000)), TargetVerdict::Healthy);
}

TEST_F(Evidence, ALossIsTriedAgainInTime)
{
    evidence.noteRepeat(1, at(200));
    evidence.noteProbe(Reachability::Refused, at(200), at(202));
    EXPECT_EQ(evidence.verdict(at(2600)), TargetVerdict::Dead);
    EXPECT_EQ(evidence.verdict(at(2800)), TargetVerdict::Healthy);
}

TEST_F(Evidence, ProbesKeepTheirDistance)
{
    evidence.noteRepeat(1, at(200));
    evidence.noteProbeStarted(at(200));
    EXPECT_FALSE(evidence.wantsProbe(at(600)));
    EXPECT_TRUE(evidence.wantsProbe(at(700)));
}

} // namespace jasminequay
