#include "jasminequay/Platform/targetprober.h"

#include "jasminequay/Platform/httpexchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jasminequay
{

namespace asio = boost::asio;

constexpr Duration ProbeTimeout = std::chrono::milliseconds(500);
constexpr std::size_t ReportSize = 4096;

TargetProber::TargetProber(asio::io_context &context, TargetSource source, Duration interval)
    : m_context(context)
    , m_source(std::move(source))
    , m_interval(interval)
{
}

void TargetProber::start()
{
    asio::co_spawn(m_context, run(), asio::detached);
}

static asio::awaitable<void> probe(ProbedTarget target)
{
    const HttpAnswer answer
        = co_await httpGet(target.loadEndpoint, "/load", {ProbeTimeout, ReportSize}, Step::ReadPlatform);
    const std::optional<LoadReport> report
        = answer.status == 200 ? parseLoadReport(answer.body) : std::nullopt;
    if (report) {
        target.take(*report);
    }
}

asio::awaitable<void> TargetProber::run()
{
    asio::steady_timer timer(m_context);
    while (true) {
        for (ProbedTarget &target : m_source()) {
            asio::co_spawn(m_context, probe(std::move(target)), asio::detached);
        }
        timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(m_interval));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace jasminequay
