// Tests of the store client against a fake store on loopback.
#include "fakestore.h"

#include "platform/storeclient.h"

#include "jasminequay/Steering/storerevision.h"

#include <boost/asio/co_spawn.hpp>
#include <gtest/gtest.h>

namespace jasminequay::platform
{

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration AmpleTimeout = seconds(5);

/// A store with routes, five targets and one unrelated entry.
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
                + R"(:80","zone":"z","version":"v1","concurrency":2,"state":")" + state
                + R"(","warmLeftMs":0,"seq":1})");
    }

    /// Runs a call until it completes and returns its answer.
    StoreAnswer complete(asio::awaitable<StoreAnswer> call)
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
    const StoreAnswer answer = complete(client.readAll(false, AmpleTimeout));
    ASSERT_EQ(answer.outcome, StoreOutcome::Answered) << answer.reason;
    EXPECT_TRUE(answer.update.isComplete);
    EXPECT_EQ(answer.update.targets.size(), 5U);
    ASSERT_TRUE(answer.update.routes);
    EXPECT_EQ(answer.update.routes->version, 3U);
    EXPECT_EQ(answer.calls, 3U);
    EXPECT_EQ(answer.update.revision, 17U);
}

/// Guards against evacuations that are lost where the items come in several pages.
TEST_F(StoreClientTest, EvacuationsAreReadAndWatched)
{
    store.put("op/evacuate/z", "{}");
    const StoreAnswer all = complete(client.readAll(false, AmpleTimeout));
    ASSERT_EQ(all.update.evacuations.size(), 1U);
    EXPECT_TRUE(all.update.evacuations[0].isActive);
    store.remove("op/evacuate/z");
    const StoreAnswer changes = complete(client.watch(all.update.revision, seconds(1), AmpleTimeout));
    ASSERT_EQ(changes.update.evacuations.size(), 1U);
    EXPECT_FALSE(changes.update.evacuations[0].isActive);
    EXPECT_GT(changes.update.evacuations[0].revision, all.update.evacuations[0].revision);
}

TEST_F(StoreClientTest, AWatchAfterAStaleReadReturnsTheMissingChanges)
{
    store.keepForStaleReads();
    putTarget(6, "ready");
    store.remove("servers/i-1");
    const StoreAnswer stale = complete(client.readAll(true, AmpleTimeout));
    ASSERT_EQ(stale.outcome, StoreOutcome::Answered);
    EXPECT_TRUE(stale.isStale);
    EXPECT_EQ(stale.update.targets.size(), 5U);
    const StoreAnswer changes = complete(client.watch(stale.update.revision, seconds(10), AmpleTimeout));
    ASSERT_EQ(changes.outcome, StoreOutcome::Answered);
    ASSERT_EQ(changes.update.targets.size(), 1U);
    EXPECT_EQ(changes.update.targets[0].name, "i-6");
    ASSERT_EQ(changes.update.removals.size(), 1U);
    EXPECT_EQ(changes.update.removals[0].name, "i-1");
}

/// Guards against losing the other entries, or the following of the store, to one extreme entry of another
/// program.
TEST_F(StoreClientTest, ExtremeEntriesHideNoOthers)
{
    const std::uint64_t before = complete(client.readAll(false, AmpleTimeout)).update.revision;
    const std::string nested(500'000, '[');
    store.put("servers/i-2f", nested);
    store.put("servers/i-30", R"({"service":"s","addr":"10.0.0.9:70000","zone":"z","concurrency":1e400})");
    store.put("servers/i-31", std::string(500'000, '\xff'));
    putTarget(6, "ready");
    const StoreAnswer changes = complete(client.watch(before, seconds(1), AmpleTimeout));
    ASSERT_EQ(changes.outcome, StoreOutcome::Answered) << changes.reason;
    ASSERT_EQ(changes.update.targets.size(), 1U);
    EXPECT_EQ(changes.update.targets.front().name, "i-6");
    const StoreAnswer all = complete(client.readAll(false, AmpleTimeout));
    ASSERT_EQ(all.outcome, StoreOutcome::Answered) << all.reason;
    EXPECT_EQ(all.update.targets.size(), 6U);
}

/// Guards against taking an answer that is larger than the client takes for a store that is down: the same
/// changes can be read in pages. Another program's entries count as well.
TEST_F(StoreClientTest, AnAnswerThatIsTooLargeIsTold)
{
    const std::uint64_t before = complete(client.readAll(false, AmpleTimeout)).update.revision;
    for (int number = 0; number < 5; ++number) {
        store.put("zz/" + std::to_string(number), std::string(900'000, 'x'));
    }
    putTarget(6, "ready");
    const StoreAnswer changes = complete(client.watch(before, seconds(1), AmpleTimeout));
    EXPECT_EQ(changes.outcome, StoreOutcome::TooLarge) << changes.reason;
    store.pageSize = 2;
    const StoreAnswer all = complete(client.readAll(false, AmpleTimeout));
    ASSERT_EQ(all.outcome, StoreOutcome::Answered) << all.reason;
    EXPECT_EQ(all.update.targets.size(), 6U);
    store.pageSize = 100;
    const StoreAnswer page = complete(client.readAll(false, AmpleTimeout));
    EXPECT_EQ(page.outcome, StoreOutcome::TooLarge);
    EXPECT_TRUE(page.update.isComplete);
}

TEST_F(StoreClientTest, AWaitingWatchReturnsAChange)
{
    const std::uint64_t revision = complete(client.readAll(false, AmpleTimeout)).update.revision;
    asio::steady_timer later(context, milliseconds(20));
    later.async_wait([&](const boost::system::error_code &) { putTarget(2, "draining"); });
    const StoreAnswer answer = complete(client.watch(revision, seconds(20), AmpleTimeout));
    ASSERT_EQ(answer.update.targets.size(), 1U);
    EXPECT_TRUE(answer.update.targets[0].isDraining);
}

TEST_F(StoreClientTest, AWatchWithoutChangesEndsEmpty)
{
    const std::uint64_t revision = complete(client.readAll(false, AmpleTimeout)).update.revision;
    const StoreAnswer answer = complete(client.watch(revision, milliseconds(20), AmpleTimeout));
    EXPECT_EQ(answer.outcome, StoreOutcome::Answered);
    EXPECT_TRUE(answer.update.targets.empty());
    EXPECT_EQ(answer.update.revision, revision);
}

TEST_F(StoreClientTest, DiscardedHistoryIsReportedAsHistoryLost)
{
    const std::uint64_t revision = complete(client.readAll(false, AmpleTimeout)).update.revision;
    putTarget(2, "draining");
    store.forgetHistory();
    EXPECT_EQ(complete(client.watch(revision, seconds(1), AmpleTimeout)).outcome, StoreOutcome::HistoryLost);
}

/// Guards against revisions of two eras that are taken for those of one.
TEST_F(StoreClientTest, RevisionsHoldTheEraThatTheStoreNames)
{
    EXPECT_EQ(complete(client.readAll(false, AmpleTimeout)).update.revision, 17U);
    store.era = 3;
    for (const char *const name : {"Store-Era", "store-era", "STORE-ERA"}) {
        store.eraHeader = name;
        const StoreAnswer all = complete(client.readAll(false, AmpleTimeout));
        ASSERT_EQ(all.outcome, StoreOutcome::Answered) << all.reason;
        EXPECT_EQ(all.era, 3U);
        EXPECT_EQ(all.update.revision, storeRevision(3, 17));
        EXPECT_EQ(all.update.targets.front().revision, storeRevision(3, 12));
        EXPECT_EQ(all.update.routes->era, 3U);
    }
    putTarget(2, "draining");
    const StoreAnswer changes = complete(client.watch(storeRevision(3, 17), seconds(1), AmpleTimeout));
    EXPECT_NE(store.requests.back().find("&after=17&"), std::string::npos) << store.requests.back();
    EXPECT_EQ(changes.update.targets.at(0).revision, storeRevision(3, 18));
}

/// Guards against applying changes after a number of an earlier era: the numbers were issued again.
TEST_F(StoreClientTest, AWatchContinuesOnlyInItsEra)
{
    store.makeCopy();
    putTarget(6, "ready");
    store.restoreCopy();
    EXPECT_EQ(complete(client.watch(18, seconds(1), AmpleTimeout)).outcome, StoreOutcome::HistoryLost);
    putTarget(7, "ready");
    putTarget(8, "ready");
    const StoreAnswer changes = complete(client.watch(18, seconds(1), AmpleTimeout));
    EXPECT_EQ(changes.outcome, StoreOutcome::HistoryLost);
    EXPECT_EQ(changes.era, 1U);
    EXPECT_TRUE(changes.update.targets.empty());
}

/// Guards against a watch that goes on waiting, or gets an answer of the earlier era, when the store goes
/// back to a copy meanwhile.
TEST_F(StoreClientTest, AWaitingWatchEndsWithTheEra)
{
    store.makeCopy();
    putTarget(6, "ready");
    asio::steady_timer later(context, milliseconds(20));
    later.async_wait([&](const boost::system::error_code &) { store.restoreCopy(); });
    const StoreAnswer answer = complete(client.watch(18, seconds(20), AmpleTimeout));
    EXPECT_EQ(answer.outcome, StoreOutcome::HistoryLost);
    EXPECT_EQ(answer.era, 1U);
}

/// Guards against a complete read that mixes pages of two eras.
TEST_F(StoreClientTest, ACompleteReadStartsAgainInANewEra)
{
    store.makeCopy();
    putTarget(6, "ready");
    store.onPage = [&]() {
        store.onPage = {};
        store.restoreCopy();
    };
    const StoreAnswer all = complete(client.readAll(false, AmpleTimeout));
    ASSERT_EQ(all.outcome, StoreOutcome::Answered) << all.reason;
    EXPECT_EQ(all.update.revision, storeRevision(1, 17));
    EXPECT_EQ(all.update.targets.size(), 5U);
    store.onPage = [&]() {
        store.restoreCopy();
    };
    EXPECT_EQ(complete(client.readAll(false, AmpleTimeout)).outcome, StoreOutcome::Failed);
}

TEST_F(StoreClientTest, ARefusalNamesTheEraToo)
{
    store.era = 2;
    store.mood = StoreMood::TurnsAway;
    const StoreAnswer refused = complete(client.readAll(false, AmpleTimeout));
    EXPECT_EQ(refused.outcome, StoreOutcome::Refused);
    EXPECT_EQ(refused.era, 2U);
}

TEST_F(StoreClientTest, RefusalsAndFailuresAreDistinguished)
{
    const std::vector<std::pair<StoreMood, StoreOutcome>> moods{{StoreMood::TurnsAway, StoreOutcome::Refused},
        {StoreMood::TooMany, StoreOutcome::Refused}, {StoreMood::Resets, StoreOutcome::Failed},
        {StoreMood::Silent, StoreOutcome::Failed}, {StoreMood::Garbled, StoreOutcome::Failed}};
    for (const auto &[mood, outcome] : moods) {
        store.mood = mood;
        const StoreAnswer all = complete(client.readAll(false, milliseconds(200)));
        EXPECT_EQ(all.outcome, outcome) << all.reason;
        EXPECT_FALSE(all.reason.empty());
        const StoreAnswer changes = complete(client.watch(1, milliseconds(10), milliseconds(200)));
        EXPECT_EQ(changes.outcome, outcome) << changes.reason;
    }
    store.mood = StoreMood::Well;
    EXPECT_EQ(complete(client.readAll(false, AmpleTimeout)).outcome, StoreOutcome::Answered);
}

TEST_F(StoreClientTest, AnUnreachableStoreIsAFailure)
{
    StoreClient unreachable({{0x7f000001}, 1});
    const StoreAnswer answer = complete(unreachable.readAll(false, AmpleTimeout));
    EXPECT_EQ(answer.outcome, StoreOutcome::Failed);
    EXPECT_NE(answer.reason.find("127.0.0.1:1"), std::string::npos) << answer.reason;
}

} // namespace jasminequay::platform
