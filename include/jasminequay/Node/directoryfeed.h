// Reading of the store by one instance: everything at first, then what changes.
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

/// What the owner of a feed provides.
struct FeedHooks {
    std::function<StoreReadRequest(TimePoint now)> next; ///< Decides about the next read.
    std::function<void(const StoreAnswer &answer, TimePoint startedAt, TimePoint now)> take;
};

/// Makes one read at a time, when its owner wants one.
template <DirectoryStore Store> class DirectoryFeed
{
public:
    DirectoryFeed(boost::asio::io_context &context, Store store, FeedHooks hooks)
        : m_store(std::move(store))
        , m_hooks(std::move(hooks))
        , m_timer(context)
    {
    }

    /// Starts the feed; it ends with the context.
    void start(boost::asio::io_context &context)
    {
        boost::asio::co_spawn(context, run(), boost::asio::detached);
    }

    /// Makes an idle feed ask its owner at once.
    void wake()
    {
        m_timer.cancel();
    }

private:
    /// How often an idle feed asks its owner.
    static constexpr auto IdleInterval = std::chrono::milliseconds(100);

    boost::asio::awaitable<void> run()
    {
        while (true) {
            const TimePoint startedAt = bootTime();
            const StoreReadRequest request = m_hooks.next(startedAt);
            if (!request.isWanted) {
                m_timer.expires_after(IdleInterval);
                boost::system::error_code ignored; // a wake-up is no failure
                co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
                continue;
            }
            // GCC 12 destroys the operands of a conditional with co_await twice.
            StoreAnswer answer;
            if (request.isComplete) {
                answer = co_await m_store.readAll(request.mayBeStale, request.timeout);
            } else {
                answer = co_await m_store.watch(request.after, request.wait, request.timeout);
            }
            m_hooks.take(answer, startedAt, bootTime());
        }
    }

    Store m_store;
    FeedHooks m_hooks;
    boost::asio::steady_timer m_timer;
};

} // namespace jasminequay
