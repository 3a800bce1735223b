// Reads the store of routes and targets: a complete read first, then the changes.
#pragma once

#include "jasminequay/Fleet/fleetcontrol.h"
#include "jasminequay/Support/bootclock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <concepts>
#include <functional>
#include <memory>
#include <optional>

namespace jasminequay
{

/// A store of routes and targets that can be read and watched.
template <typename Store>
concept DirectoryStore = requires(Store store, Duration duration, std::uint64_t revision)
{
    {
        store.readAll(true, duration)
        } -> std::same_as<boost::asio::awaitable<StoreAnswer>>;
    {
        store.watch(revision, duration, duration)
        } -> std::same_as<boost::asio::awaitable<StoreAnswer>>;
};

/// Callbacks that the owner of a feed provides.
struct FeedHooks {
    std::function<StoreReadRequest(TimePoint now)> nextRead; ///< Returns the next read to make, if any.
    /// Handles the answer to a read that was started at `startedAt`.
    std::function<void(const StoreAnswer &answer, TimePoint startedAt, TimePoint now)> onAnswer;
};

/// Makes the reads that its owner requests, one at a time. A read may be repeated while it is not answered;
/// the first answer counts.
template <DirectoryStore Store> class DirectoryFeed
{
public:
    DirectoryFeed(boost::asio::io_context &context, Store store, FeedHooks hooks)
        : m_store(std::move(store))
        , m_hooks(std::move(hooks))
        , m_context(context)
        , m_timer(context)
    {
    }

    /// Starts the feed; it runs until the context is stopped.
    void start(boost::asio::io_context &context)
    {
        boost::asio::co_spawn(context, run(), boost::asio::detached);
    }

    /// Makes an idle feed poll its owner immediately.
    void wake()
    {
        m_timer.cancel();
    }

private:
    /// How often an idle feed polls its owner for the next read.
    static constexpr auto IdlePollInterval = std::chrono::milliseconds(100);

    /// The most reads under way at a time: together they cover the time until the first one times out.
    static constexpr unsigned MaximumReads = 4;

    /// For how many timeouts of a single read it is repeated before the owner learns that the store does not
    /// answer.
    static constexpr int RepeatedTimeouts = 2;

    /// Complete reads that run beside each other.
    struct RepeatedRead {
        explicit RepeatedRead(boost::asio::io_context &context)
            : isDecided(context)
        {
        }

        std::optional<StoreAnswer> answer; ///< The first answer of the store.
        StoreAnswer failure; ///< The last failure.
        unsigned started = 0;
        unsigned pending = 0;
        boost::asio::steady_timer isDecided; ///< Cancelled when the store answered or all reads failed.
    };

    boost::asio::awaitable<void> run()
    {
        while (true) {
            const TimePoint startedAt = bootTime();
            const StoreReadRequest request = m_hooks.nextRead(startedAt);
            if (!request.isWanted) {
                m_timer.expires_after(IdlePollInterval);
                boost::system::error_code ignored; // wake() cancels the timer
                co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
                continue;
            }
            // Not a conditional expression: GCC 12 destroys the operands of one with co_await twice.
            StoreAnswer answer;
            if (request.isComplete && request.repeatAfter > Duration::zero()) {
                answer = co_await readRepeatedly(request);
            } else if (request.isComplete) {
                answer = co_await m_store.readAll(request.mayBeStale, request.timeout);
            } else {
                answer = co_await m_store.watch(request.after, request.wait, request.timeout);
            }
            m_hooks.onAnswer(answer, startedAt, bootTime());
        }
    }

    /// Repeats a complete read beside those that are not answered yet; returns the first answer, or the last
    /// failure.
    boost::asio::awaitable<StoreAnswer> readRepeatedly(StoreReadRequest request)
    {
        const auto reads = std::make_shared<RepeatedRead>(m_context);
        boost::system::error_code ignored; // the timer is cancelled when the reads are decided
        const TimePoint repeatUntil = bootTime() + RepeatedTimeouts * request.timeout;
        do {
            if (reads->pending < MaximumReads) {
                ++reads->started;
                ++reads->pending;
                boost::asio::co_spawn(m_context, readOnce(reads, request), boost::asio::detached);
            }
            reads->isDecided.expires_after(request.repeatAfter);
            co_await reads->isDecided.async_wait(
                boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        } while (!reads->answer && reads->pending > 0 && bootTime() < repeatUntil);
        StoreAnswer answer = reads->answer ? *reads->answer : reads->failure;
        answer.calls += reads->started - 1;
        co_return answer;
    }

    boost::asio::awaitable<void> readOnce(std::shared_ptr<RepeatedRead> reads, StoreReadRequest request)
    {
        StoreAnswer answer = co_await m_store.readAll(request.mayBeStale, request.timeout);
        --reads->pending;
        if (answer.outcome != StoreOutcome::Answered) {
            reads->failure = std::move(answer);
        } else if (!reads->answer) {
            reads->answer = std::move(answer);
        }
        if (reads->answer || reads->pending == 0) {
            reads->isDecided.cancel();
        }
    }

    Store m_store;
    FeedHooks m_hooks;
    boost::asio::io_context &m_context;
    boost::asio::steady_timer m_timer;
};

} // namespace jasminequay
