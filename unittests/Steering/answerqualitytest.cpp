// Answers are judged by size and time, as an instance cannot read them.
#include "jasminequay/Steering/answerquality.h"

#include <gtest/gtest.h>

#include <random>

namespace jasminequay
{

using std::chrono::milliseconds;

class AnswerQualityTest : public testing::Test
{
protected:
    AnswerVerdict answer(std::uint32_t bytes, int timeMs)
    {
        m_now += milliseconds(20);
        return quality.record(bytes, milliseconds(timeMs), m_now);
    }

    /// Answers of 200 bytes of headers and about 1,500 bytes of content after about 40 ms.
    AnswerVerdict usualAnswer()
    {
        std::lognormal_distribution<double> content(std::log(1500), 0.6);
        std::lognormal_distribution<double> time(std::log(40), 0.5);
        return answer(200 + static_cast<std::uint32_t>(content(m_random)), static_cast<int>(time(m_random)));
    }

    unsigned failedOf(unsigned count)
    {
        unsigned failed = 0;
        for (unsigned number = 0; number < count; ++number) {
            failed += usualAnswer() == AnswerVerdict::Failed ? 1 : 0;
        }
        return failed;
    }

    AnswerQuality quality;

private:
    std::mt19937_64 m_random{7};
    TimePoint m_now = TimePoint(std::chrono::hours(1));
};

/// Guards against taking targets for faulty whose answers merely vary.
TEST_F(AnswerQualityTest, UsualAnswersDoNotFail)
{
    EXPECT_LE(failedOf(5000), 10U);
}

/// Guards against a target that answers all requests with errors at once and so looks like the fastest one.
TEST_F(AnswerQualityTest, ShortAndQuickAnswersFail)
{
    failedOf(100);
    EXPECT_EQ(answer(165, 3), AnswerVerdict::Failed);
    EXPECT_EQ(answer(165, 80), AnswerVerdict::Good) << "short but not quick";
    EXPECT_EQ(answer(900, 3), AnswerVerdict::Good) << "quick but not short";
}

/// Guards against learning errors as usual while a third of all answers are errors for seconds.
TEST_F(AnswerQualityTest, ErrorsAreNotLearnt)
{
    for (int round = 0; round < 1000; ++round) {
        usualAnswer();
        usualAnswer();
        answer(165, 3);
    }
    EXPECT_EQ(answer(165, 3), AnswerVerdict::Failed);
}

/// Guards against judging a route by what it answered before its service changed.
TEST_F(AnswerQualityTest, AnswersThatStaySmallBecomeUsual)
{
    failedOf(100);
    for (int number = 0; number < 600; ++number) {
        answer(165, 3);
    }
    EXPECT_NE(answer(165, 3), AnswerVerdict::Failed);
}

TEST_F(AnswerQualityTest, RoutesWithSmallAnswersGiveNoEvidence)
{
    for (int number = 0; number < 100; ++number) {
        answer(210, 4);
    }
    EXPECT_EQ(answer(165, 3), AnswerVerdict::Good);
}

TEST_F(AnswerQualityTest, ARequestIsOverdueAfterAMultipleOfTheUsualTime)
{
    EXPECT_EQ(quality.overdueAfter(), Duration::max());
    for (int number = 0; number < 100; ++number) {
        answer(1200, 200);
    }
    EXPECT_NEAR(std::chrono::duration<double>(quality.overdueAfter()).count(), 0.8, 0.01);
}

} // namespace jasminequay
