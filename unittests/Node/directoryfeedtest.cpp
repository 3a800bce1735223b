// Tests of the reads of a store, without a network.
#include "jasminequay/Node/directoryfeed.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace jasminequay
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A store whose first complete reads get no answer or are refused.
struct FailingStore {
    unsigned *reads; ///< Counts the complete reads.
    unsigned *mostWaiting; ///< The most reads that waited at a time.
    unsigned silentReads = 0; ///< The first reads, which get no answer.
    unsigned refusedReads = 0; ///< The reads after them, which are refused at once.
    unsigned waiting = 0; ///< The reads that wait now.

    boost::asio::awaitable<StoreAnswer> readAll(bool, Duration timeout)
    {
        StoreAnswer answer;
        answer.calls = 1;
        const unsigned number = (*reads)++;
        if (number < silentReads) {
            boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
            timer.expires_after(timeout);
            *mostWaiting = std::max(*mostWaiting, ++waiting);
            co_await timer.async_wait(boost::asio::use_awaitable);
            --waiting;
            answer.outcome = StoreOutcome::Failed;
            co_return answer;
        }
        answer.outcome = number < silentReads + refusedReads ? StoreOutcome::Refused : StoreOutcome::Answered;
        co_return answer;
    }

    boost::asio::awaitable<StoreAnswer> watch(std::uint64_t, Duration, Duration)
    {
        co_return StoreAnswer{};
    }
};

static_assert(DirectoryStore<FailingStore>);

/// Makes one complete read that is repeated after a millisecond, and returns its answer.
static StoreAnswer readOnce(const FailingStore &store, Duration timeout)
{
    boost::asio::io_context context(1);
    StoreAnswer result;
    bool isAnswered = false;
    DirectoryFeed<FailingStore> feed(context, store,
        {[&](TimePoint) {
             StoreReadRequest request;
             request.isWanted = !isAnswered;
             request.isComplete = true;
             request.mayBeStale = true;
             request.timeout = timeout;
             request.repeatAfter = milliseconds(1);
             return request;
         },
            [&](const StoreAnswer &answer, TimePoint, TimePoint) {
                result = answer;
                isAnswered = true;
                context.stop();
            }});
    feed.start(context);
    context.run();
    return result;
}

/// A test that counts the reads of a store.
class DirectoryFeedTest : public testing::Test
{
protected:
    unsigned reads = 0;
    unsigned mostWaiting = 0;
};

/// Guards against waiting out the timeout of a read that began while the store was silent, when a whole fleet
/// has restarted and the store has come back meanwhile.
TEST_F(DirectoryFeedTest, AReadWithoutAnAnswerIsRepeatedBesideTheFirst)
{
    const StoreAnswer answer = readOnce({&reads, &mostWaiting, 2, 0}, seconds(30));
    EXPECT_EQ(answer.outcome, StoreOutcome::Answered);
    EXPECT_EQ(reads, 3U);
    EXPECT_EQ(answer.calls, 3U);
}

/// Guards against a gap between the last repeated read and the timeout of the reads before it.
TEST_F(DirectoryFeedTest, ReadsThatTimeOutAreReplaced)
{
    EXPECT_EQ(readOnce({&reads, &mostWaiting, 6, 0}, milliseconds(200)).outcome, StoreOutcome::Answered);
    EXPECT_EQ(reads, 7U);
}

TEST_F(DirectoryFeedTest, AReadThatIsAnsweredIsNotRepeated)
{
    EXPECT_EQ(readOnce({&reads, &mostWaiting, 0, 0}, seconds(30)).outcome, StoreOutcome::Answered);
    EXPECT_EQ(reads, 1U);
}

/// Guards against hammering a store that refuses: its refusals go to the owner, which paces the next read.
TEST_F(DirectoryFeedTest, ARefusedReadIsNotRepeated)
{
    EXPECT_EQ(readOnce({&reads, &mostWaiting, 0, 100}, seconds(30)).outcome, StoreOutcome::Refused);
    EXPECT_EQ(reads, 1U);
}

TEST_F(DirectoryFeedTest, AFewReadsAtMostWaitForASilentStore)
{
    EXPECT_EQ(readOnce({&reads, &mostWaiting, 100000, 0}, milliseconds(20)).outcome, StoreOutcome::Failed);
    EXPECT_EQ(mostWaiting, 4U);
}

} // namespace jasminequay
