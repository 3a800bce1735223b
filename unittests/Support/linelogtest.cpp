#include "jasminequay/Support/linelog.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace jasminequay
{

constexpr TimePoint Start = TimePoint(std::chrono::hours(1));

/// 2026-12-04 07:51:55.123 UTC in milliseconds since 1970.
constexpr std::int64_t Wall = 1'796'370'715'123;

/// A pipe whose reader may be slow.
class LineLogTest : public testing::Test
{
protected:
    LineLogTest()
    {
        EXPECT_EQ(pipe(ends), 0);
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }

    ~LineLogTest() override
    {
        close(ends[0]);
        close(ends[1]);
    }

    std::string readAll()
    {
        std::string text;
        char buffer[4096];
        for (ssize_t size = 0; (size = read(ends[0], buffer, sizeof buffer)) > 0;) {
            text.append(buffer, static_cast<std::size_t>(size));
        }
        return text;
    }

    int ends[2] = {};
};

TEST_F(LineLogTest, ALineHasBothClocksANumberAndTheEvent)
{
    LineLog log(ends[1], Severity::Info, {});
    log.take(Severity::Warning, "store-lost", "event=store-lost store=1.2.3.4:5", Start, Wall);
    log.flush(Start, Wall);
    EXPECT_EQ(readAll(),
        "time=2026-12-04T07:51:55.123Z boot_ms=3600000 line=1 level=warning event=store-lost "
        "store=1.2.3.4:5\n");
}

TEST_F(LineLogTest, LinesBelowTheLevelAreLeftOut)
{
    LineLog log(ends[1], Severity::Warning, {});
    log.take(Severity::Info, "placed", "event=placed", Start, Wall);
    log.flush(Start, Wall);
    EXPECT_EQ(readAll(), "");
}

/// A surge of flows: each kind of event keeps to its budget, and others are not crowded out.
TEST_F(LineLogTest, ASurgeIsBoundedAndCounted)
{
    LineLog log(ends[1], Severity::Info, {20, 60, 64 << 10});
    for (int line = 0; line < 1000; ++line) {
        log.take(Severity::Info, "placed", "event=placed", Start, Wall);
    }
    log.take(Severity::Error, "settings-refused", "event=settings-refused", Start, Wall);
    log.flush(Start, Wall);
    const std::string text = readAll();
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 62);
    EXPECT_NE(text.find("event=settings-refused"), std::string::npos);
    EXPECT_NE(text.find("event=lines-left-out of=placed count=940"), std::string::npos);
    EXPECT_EQ(log.leftOut(), 940U);
}

TEST_F(LineLogTest, AReaderThatStallsNeverBlocksTheWriter)
{
    LineLog log(ends[1], Severity::Info, {1e9, 1e9, 64 << 10});
    const std::string pairs = "event=placed " + std::string(500, 'x');
    // Far more than the pipe and the backlog hold; a blocking write would hang here.
    for (int line = 0; line < 2000; ++line) {
        log.take(Severity::Info, "placed", pairs, Start, Wall);
        log.flush(Start, Wall);
    }
    EXPECT_GT(log.leftOut(), 1000U);
    std::string text = readAll();
    for (int round = 0; round < 100; ++round) {
        log.flush(Start + std::chrono::seconds(6), Wall);
        text += readAll();
    }
    EXPECT_NE(text.find("event=lines-left-out of=placed"), std::string::npos);
    EXPECT_EQ(text.back(), '\n');
}

TEST_F(LineLogTest, EventsGoToTheSinkThatIsSet)
{
    std::string seen;
    setLogSink([&](Severity, std::string_view event, const std::string &pairs) {
        seen = std::string(event) + "|" + pairs;
    });
    LogEvent(Severity::Info, "route gone").with("version", 7);
    setLogSink({});
    EXPECT_EQ(seen, "route gone|event=\"route gone\" version=7");
}

} // namespace jasminequay
