#include "jasminequay/Platform/platformwatch.h"

#include "jasminequay/Support/logevent.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jasminequay
{

namespace asio = boost::asio;

constexpr Duration WatchWait = std::chrono::seconds(20);
constexpr Duration AnswerSlack = std::chrono::seconds(5);
constexpr Duration IdleInterval = std::chrono::milliseconds(250);
constexpr Duration BackoffBase = std::chrono::milliseconds(200);
constexpr Duration BackoffCap = std::chrono::seconds(15);
constexpr double CallsPerSecond = 2;
constexpr double CallBurst = 10;
constexpr unsigned NoNewerValue = 204;
constexpr unsigned NewerValue = 200;

PlatformWatch::PlatformWatch(asio::io_context &context, Endpoint platform, PlatformValue value,
    PlatformWatchHooks hooks, std::uint64_t seed)
    : m_context(context)
    , m_platform(platform)
    , m_value(value)
    , m_hooks(std::move(hooks))
    , m_backoff(BackoffBase, BackoffCap, seed)
    , m_budget(CallsPerSecond, CallBurst, std::chrono::steady_clock::now())
{
}

void PlatformWatch::start()
{
    asio::co_spawn(m_context, run(), asio::detached);
}

std::string PlatformWatch::path() const
{
    const std::string name = m_value == PlatformValue::Settings ? "/v1/settings" : "/v1/instances";
    const auto wait = std::chrono::duration_cast<std::chrono::seconds>(WatchWait).count();
    return name + "?above=" + std::to_string(m_hooks.version()) + "&wait=" + std::to_string(wait) + "s";
}

asio::awaitable<void> PlatformWatch::pause(Duration duration)
{
    asio::steady_timer timer(
        m_context, std::chrono::duration_cast<std::chrono::steady_clock::duration>(duration));
    co_await timer.async_wait(asio::use_awaitable);
}

/// Returns whether the platform answered as documented.
bool PlatformWatch::note(const HttpAnswer &answer)
{
    const bool isSound = !answer.failure && (answer.status == NewerValue || answer.status == NoNewerValue);
    if (!isSound) {
        ++m_failures;
        const std::string reason = answer.failure ? describe(*answer.failure)
                                                  : "unexpected status " + std::to_string(answer.status);
        LogEvent(Severity::Warning, "platform-failed")
            .with("platform", format(m_platform))
            .with("reason", reason);
    }
    m_hooks.health(!isSound);
    return isSound;
}

asio::awaitable<void> PlatformWatch::run()
{
    while (true) {
        const bool mayCall = m_hooks.shouldWatch() && m_budget.take(1, std::chrono::steady_clock::now());
        if (!mayCall) {
            co_await pause(IdleInterval);
            continue;
        }
        ++m_calls;
        HttpLimits limits;
        limits.timeout = WatchWait + AnswerSlack;
        const HttpAnswer answer = co_await httpGet(m_platform, path(), limits, Step::WatchPlatform);
        if (!note(answer)) {
            co_await pause(m_backoff.next());
            continue;
        }
        m_backoff.reset();
        if (answer.status == NewerValue) {
            m_hooks.take(answer.body);
        }
    }
}

} // namespace jasminequay
