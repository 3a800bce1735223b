#include "jasminequay/Support/backoff.h"
#include "jasminequay/Support/failure.h"
#include "jasminequay/Support/logevent.h"
#include "jasminequay/Support/timerservice.h"
#include "jasminequay/Support/tokenbucket.h"
#include "jasminequay/Support/units.h"

#include <gtest/gtest.h>

namespace jasminequay
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start(seconds(100));

TEST(Units, DurationsNeedAUnitAndFit)
{
    EXPECT_EQ(parseDuration("250ms"), milliseconds(250));
    EXPECT_EQ(parseDuration("2m"), std::chrono::minutes(2));
    for (const char *const text : {"", "5", "-1s", "1.5s", "s", "1 s", "1sec", "9999999999999h", "0x1s"}) {
        EXPECT_FALSE(parseDuration(text)) << text;
    }
    EXPECT_EQ(formatDuration(milliseconds(1500)), "1500ms");
    EXPECT_EQ(formatDuration(std::chrono::hours(2)), "2h");
}

TEST(Units, SizesAndNumbers)
{
    EXPECT_EQ(parseSize("64KiB"), 65536U);
    EXPECT_FALSE(parseSize("64"));
    EXPECT_FALSE(parseNumber("-1"));
    EXPECT_FALSE(parseNumber("1 "));
    EXPECT_FALSE(parseReal("nan"));
    EXPECT_FALSE(parseReal("1e999"));
}

TEST(TimerService, CallsEachSubscriberOnceEvenWhenLate)
{
    TimerService timers;
    int calls = 0;
    timers.subscribe("part", seconds(1), Start, [&](TimePoint) { ++calls; });
    timers.advance(Start + milliseconds(999));
    EXPECT_EQ(calls, 0);
    timers.advance(Start + seconds(10));
    EXPECT_EQ(calls, 1);
    EXPECT_EQ(timers.nextDue(Start + seconds(60)), Start + seconds(11));
}

TEST(TokenBucket, AdmitsTheRateAndTheBurst)
{
    TokenBucket bucket(10, 5, Start);
    int taken = 0;
    for (int attempt = 0; attempt < 100; ++attempt) {
        taken += bucket.take(1, Start) ? 1 : 0;
    }
    EXPECT_EQ(taken, 5);
    EXPECT_FALSE(bucket.take(1, Start + milliseconds(50)));
    EXPECT_TRUE(bucket.take(1, Start + milliseconds(100)));
    EXPECT_FALSE(bucket.take(6, Start + seconds(100)));
}

TEST(Backoff, GrowsToItsCapWithFullJitter)
{
    Backoff backoff(milliseconds(100), seconds(2), 1);
    Duration longest{};
    for (int attempt = 0; attempt < 100; ++attempt) {
        longest = std::max(longest, backoff.next());
    }
    EXPECT_LE(longest, seconds(2));
    EXPECT_GT(longest, seconds(1));
    backoff.reset();
    EXPECT_LE(backoff.next(), milliseconds(100));
}

TEST(Backoff, InstancesThatFailTogetherDoNotRetryTogether)
{
    Backoff first(seconds(1), seconds(10), 1);
    Backoff second(seconds(1), seconds(10), 2);
    EXPECT_NE(first.next(), second.next());
}

TEST(LogEvent, ValuesAreQuotedWhereTheyMustBe)
{
    EXPECT_EQ(quotedValue("plain-1.2:3"), "plain-1.2:3");
    EXPECT_EQ(quotedValue(""), "\"\"");
    EXPECT_EQ(quotedValue("a b"), "\"a b\"");
    EXPECT_EQ(quotedValue("a=\"b\"\n"), "\"a=\\\"b\\\"\\n\"");
}

/// Guards against log lines whose size another program chooses.
TEST(LogEvent, VeryLongValuesAreCutOff)
{
    std::string line;
    setLogSink([&](Severity, std::string_view, const std::string &pairs) { line = pairs; });
    LogEvent(Severity::Info, "long").with("text", std::string(1'000'000, 'x')).with("next", 1);
    setLogSink({});
    EXPECT_LT(line.size(), 2000U);
    EXPECT_NE(line.find("x... next=1"), std::string::npos);
}

TEST(Failure, NamesStepPeerAndMessage)
{
    const std::string text = withFailure(
        []() -> Result<std::string> { return fail(Step::ConnectPeer, "fk-2", "the send queue is full"); },
        [](const Failure &failure) { return describe(failure); });
    EXPECT_EQ(text, "connect-peer fk-2: the send queue is full");
}

} // namespace jasminequay
