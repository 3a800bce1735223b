// Tests of the limit of one service and data centre at one instance. The patterns with many instances are in
// unittests/Model.
#include "jasminequay/Steering/priorityadmission.h"
#include "steeringfixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>

namespace jasminequay::steering
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An instance that offers flows of two priorities in turn to 40 targets.
class PriorityAdmissionTest : public testing::Test
{
protected:
    /// What the targets do with a request.
    enum class Behaviour { Answer, AnswerLate, TurnAwayExcess, FailAtTarget0, AnswerNothing };

    /// Offers flows at a rate for a time. Returns the shares admitted of the priorities 1 and 2.
    std::pair<double, double> offer(double perSecond, Duration lasting, Behaviour behaviour)
    {
        std::array<unsigned, 2> offered{};
        std::array<unsigned, 2> admitted{};
        const auto step = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond));
        for (const TimePoint end = now + lasting; now < end; now += step) {
            const std::uint64_t flow = ++m_flows;
            m_room = std::min(m_room + TargetRate / perSecond, Queue);
            const std::uint32_t priority = 1 + flow % 2;
            ++offered[flow % 2];
            if (admission.admits(priority, flow, now)) {
                ++admitted[flow % 2];
                for (unsigned request = 0; request < requestsPerFlow; ++request) {
                    send(flow, request == 0, behaviour);
                }
            }
        }
        return {double(admitted[0]) / offered[0], double(admitted[1]) / offered[1]};
    }

    PriorityAdmission admission;
    unsigned requestsPerFlow = 1;
    TimePoint now = Start;

private:
    void send(std::uint64_t flow, bool isOpening, Behaviour behaviour)
    {
        const std::uint64_t target = flow % 40;
        admission.recordSent({flow, target, 1, milliseconds(500), isOpening}, now);
        if (behaviour == Behaviour::AnswerNothing) {
            return;
        }
        const bool isBusy = behaviour == Behaviour::TurnAwayExcess && m_room < Queue;
        const bool isFull = behaviour == Behaviour::TurnAwayExcess && m_room < 1;
        m_room -= isFull ? 0 : 1;
        const bool isLate = behaviour == Behaviour::AnswerLate || isBusy;
        const bool isFailed = isFull || (behaviour == Behaviour::FailAtTarget0 && target == 0);
        const Duration time = isFailed ? milliseconds(5) : milliseconds(isLate ? 200 : 45);
        admission.recordAnswer({flow, target, 1, time, isFailed}, now);
    }

    static constexpr double TargetRate = 80; ///< The requests per second that the targets can process.
    static constexpr double Queue = 8;

    std::uint64_t m_flows = 0;
    double m_room = Queue; ///< The places that are free in the queue.
};

/// Guards against giving way of the higher priority while the lower one still has a share.
TEST_F(PriorityAdmissionTest, TheLowerPriorityGivesWayFirst)
{
    offer(40, seconds(5), Behaviour::Answer);
    offer(120, seconds(1), Behaviour::TurnAwayExcess);
    EXPECT_TRUE(admission.isLimited(now));
    const auto [higher, lower] = offer(120, seconds(1), Behaviour::TurnAwayExcess);
    EXPECT_GT(higher, 0.97);
    EXPECT_GT(lower, 0.1);
    EXPECT_LT(lower, 0.6);
}

/// Guards against a limit that is never reached where flows carry many requests.
TEST_F(PriorityAdmissionTest, TheLimitIsOneOfFlowsNotOfRequests)
{
    requestsPerFlow = 3;
    offer(15, seconds(5), Behaviour::Answer);
    offer(60, seconds(2), Behaviour::TurnAwayExcess);
    ASSERT_TRUE(admission.isLimited(now));
    EXPECT_LT(admission.limit(), 60);
    EXPECT_LT(offer(60, seconds(1), Behaviour::TurnAwayExcess).second, 0.6);
}

/// Guards against a limit on a service of which one target fails everything.
TEST_F(PriorityAdmissionTest, OneBrokenTargetSetsNoLimit)
{
    offer(40, seconds(5), Behaviour::Answer);
    offer(40, seconds(20), Behaviour::FailAtTarget0);
    EXPECT_FALSE(admission.isLimited(now));
}

TEST_F(PriorityAdmissionTest, LateAnswersAloneSetNoLimit)
{
    offer(40, seconds(5), Behaviour::Answer);
    EXPECT_EQ(offer(40, seconds(5), Behaviour::AnswerLate), std::pair(1.0, 1.0));
}

/// Guards against a limit that stays when all targets of a data centre are lost: the other evidence about
/// targets must then decide.
TEST_F(PriorityAdmissionTest, TheLimitExpiresWithoutAnswers)
{
    offer(40, seconds(5), Behaviour::Answer);
    offer(120, seconds(1), Behaviour::TurnAwayExcess);
    ASSERT_TRUE(admission.isLimited(now));
    offer(40, seconds(2), Behaviour::AnswerNothing);
    EXPECT_FALSE(admission.isLimited(now));
}

/// Guards against taking missing answers for good ones: targets that reset flows let nothing be seen.
TEST_F(PriorityAdmissionTest, MissingAnswersCountAsTurnedAway)
{
    offer(40, seconds(5), Behaviour::Answer);
    EXPECT_EQ(admission.turnedAwayShare(now), 0);
    offer(40, seconds(1), Behaviour::AnswerNothing);
    offer(40, milliseconds(100), Behaviour::Answer);
    EXPECT_GT(admission.turnedAwayShare(now), 0.2);
}

/// Guards against sending the excess of one data centre to another one that is full as well.
TEST_F(PriorityAdmissionTest, SpilledFlowsAreAdmittedOnlyWhereAnswersAreUsual)
{
    offer(40, seconds(5), Behaviour::Answer);
    EXPECT_TRUE(admission.admitsSpilled(2, now));
    offer(40, seconds(1), Behaviour::AnswerLate);
    EXPECT_FALSE(admission.admitsSpilled(2, now));
}

TEST_F(PriorityAdmissionTest, ADataCentreWithoutAnswersGetsOneSpilledFlowAtATime)
{
    EXPECT_TRUE(admission.admitsSpilled(2, now));
    admission.recordSent({1, 1, 1, milliseconds(500), true}, now);
    EXPECT_FALSE(admission.admitsSpilled(2, now));
    now += milliseconds(600);
    EXPECT_TRUE(admission.admitsSpilled(2, now));
}

} // namespace jasminequay::steering
