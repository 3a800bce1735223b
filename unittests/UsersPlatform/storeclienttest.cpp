// The store client against the stand-in on loopback.
#include "fakestore.h"

#include "platform/storeclient.h"

#include <boost/asio/co_spawn.hpp>
#include <gtest/gtest.h>

namespace jasminequay::platform
{

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Ample = seconds(5);

/// A store with five targets and routes.
class StoreClientTest : public testing::Test
{
protected:
    StoreClientTest()
        : store(context)
        , client(store.address())
    {
        store.put("op/config", R"({"version":3,"routes":[],"limits":{"idleTimeoutMs":15000}})");
        for (int number = 1; number <= 5; ++number) {
            putTarget(number, "ready");
        }
        store.put("zz/other", "x");
    }

    void putTarget(int number, const std::string &state)
    {
        store.put("servers/i-" + std::to_string(number),
            R"({"service":"s","addr":"10.0.0.)" + std::to_string(number)
                + R"(:80","zone":"z","concurrency":2,"state":")" + state + R"(","warmLeftMs":0,"seq":1})");
    }

    /// Runs a call to its end.
    StoreAnswer finish(asio::awaitable<StoreAnswer> call)
    {
        StoreAnswer result;
        bool isDone = false;
        asio::co_spawn(context, std::move(call), [&](const std::exception_ptr &failure, StoreAnswer answer) {
            EXPECT_EQ(failure, nullptr);
            result = std::move(answer);
            isDone = true;
        });
        while (!isDone) {
            context.run_one_for(seconds(20));
        }
        return result;
    }

    asio::io_context context;
    FakeStore store;
    StoreClient client;
};

TEST_F(StoreClientTest, ReadsAllPages)
{
    const StoreAnswer answer = finish(client.readAll(false, Ample));
    ASSERT_EQ(answer.outcome, StoreOutcome::Answered) << answer.reason;
    EXPECT_TRUE(answer.update.isComplete);
    EXPECT_EQ(answer.update.targets.size(), 5U);
    ASSERT_TRUE(answer.update.routes);
    EXPECT_EQ(answer.update.routes->version, 3U);
    EXPECT_EQ(answer.calls, 3U);
    EXPECT_EQ(answer.update.revision, 17U);
}

TEST_F(StoreClientTest, AStaleReadAndAWatchBringWhatIsNew)
{
    store.keepForStaleReads();
    putTarget(6, "ready");
    store.remove("servers/i-1");
    const StoreAnswer stale = finish(client.readAll(true, Ample));
    ASSERT_EQ(stale.outcome, StoreOutcome::Answered);
    EXPECT_TRUE(stale.isStale);
    EXPECT_EQ(stale.update.targets.size(), 5U);
    const StoreAnswer changes = finish(client.watch(stale.update.revision, seconds(10), Ample));
    ASSERT_EQ(changes.outcome, StoreOutcome::Answered);
    ASSERT_EQ(changes.update.targets.size(), 1U);
    EXPECT_EQ(changes.update.targets[0].name, "i-6");
    ASSERT_EQ(changes.update.removals.size(), 1U);
    EXPECT_EQ(changes.update.removals[0].name, "i-1");
}

TEST_F(StoreClientTest, AWaitingWatchHearsAChange)
{
    const std::uint64_t revision = finish(client.readAll(false, Ample)).update.revision;
    asio::steady_timer later(context, milliseconds(20));
    later.async_wait([&](const boost::system::error_code &) { putTarget(2, "draining"); });
    const StoreAnswer answer = finish(client.watch(revision, seconds(20), Ample));
    ASSERT_EQ(answer.update.targets.size(), 1U);
    EXPECT_TRUE(answer.update.targets[0].isDraining);
}

TEST_F(StoreClientTest, AQuietWatchEndsWithNothing)
{
    const std::uint64_t revision = finish(client.readAll(false, Ample)).update.revision;
    const StoreAnswer answer = finish(client.watch(revision, milliseconds(20), Ample));
    EXPECT_EQ(answer.outcome, StoreOutcome::Answered);
    EXPECT_TRUE(answer.update.targets.empty());
    EXPECT_EQ(answer.update.revision, revision);
}

TEST_F(StoreClientTest, LostHistoryIsToldApart)
{
    const std::uint64_t revision = finish(client.readAll(false, Ample)).update.revision;
    putTarget(2, "draining");
    store.forgetHistory();
    EXPECT_EQ(finish(client.watch(revision, seconds(1), Ample)).outcome, StoreOutcome::HistoryLost);
}

TEST_F(StoreClientTest, FailuresAreToldApart)
{
    const std::vector<std::pair<StoreMood, StoreOutcome>> moods{{StoreMood::TurnsAway, StoreOutcome::Refused},
        {StoreMood::TooMany, StoreOutcome::Refused}, {StoreMood::Resets, StoreOutcome::Failed},
        {StoreMood::Silent, StoreOutcome::Failed}, {StoreMood::Garbled, StoreOutcome::Failed}};
    for (const auto &[mood, outcome] : moods) {
        store.mood = mood;
        const StoreAnswer all = finish(client.readAll(false, milliseconds(200)));
        EXPECT_EQ(all.outcome, outcome) << all.reason;
        EXPECT_FALSE(all.reason.empty());
        const StoreAnswer changes = finish(client.watch(1, milliseconds(10), milliseconds(200)));
        EXPECT_EQ(changes.outcome, outcome) << changes.reason;
    }
    store.mood = StoreMood::Well;
    EXPECT_EQ(finish(client.readAll(false, Ample)).outcome, StoreOutcome::Answered);
}

TEST_F(StoreClientTest, NobodyAtTheAddressIsAFailure)
{
    StoreClient lost({{0x7f000001}, 1});
    const StoreAnswer answer = finish(lost.readAll(false, Ample));
    EXPECT_EQ(answer.outcome, StoreOutcome::Failed);
    EXPECT_NE(answer.reason.find("127.0.0.1:1"), std::string::npos) << answer.reason;
}

} // namespace jasminequay::platform
