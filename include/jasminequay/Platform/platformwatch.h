// The waiting watch on the platform's settings and list of instances. Reads only.
#pragma once

#include "jasminequay/Platform/httpexchange.h"
#include "jasminequay/Support/backoff.h"
#include "jasminequay/Support/tokenbucket.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace jasminequay
{

/// A value that the platform publishes.
enum class PlatformValue : std::uint8_t { Settings, Instances };

/// What the owner of a watch provides.
struct PlatformWatchHooks {
    std::function<bool()> shouldWatch; ///< Whether this instance is to watch now.
    std::function<std::uint64_t()> version; ///< The version that it has.
    std::function<void(const std::string &)> take; ///< Takes a newer value.
    std::function<void(bool)> health; ///< Told whether the platform failed.
};

/// Watches one value: one waiting request at a time, exponential backoff with full jitter after failures, and
/// a budget over all calls.
class PlatformWatch
{
public:
    PlatformWatch(boost::asio::io_context &context, Endpoint platform, PlatformValue value,
        PlatformWatchHooks hooks, std::uint64_t seed);

    /// Starts the watch; it ends with the context.
    void start();

    [[nodiscard]] std::uint64_t calls() const
    {
        return m_calls;
    }

    [[nodiscard]] std::uint64_t failures() const
    {
        return m_failures;
    }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> pause(Duration duration);
    [[nodiscard]] std::string path() const;
    bool note(const HttpAnswer &answer);

    boost::asio::io_context &m_context;
    Endpoint m_platform;
    PlatformValue m_value;
    PlatformWatchHooks m_hooks;
    Backoff m_backoff;
    TokenBucket m_budget;
    std::uint64_t m_calls = 0;
    std::uint64_t m_failures = 0;
};

} // namespace jasminequay
