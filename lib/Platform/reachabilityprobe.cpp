#include "jasminequay/Platform/reachabilityprobe.h"

#include "jasminequay/Support/bootclock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace jasminequay
{

namespace asio = boost::asio;
namespace beast = boost::beast;

/// Connections within a region take milliseconds; a lost opening segment is repeated only after a second.
constexpr auto ProbeTimeout = std::chrono::milliseconds(150);

/// A timeout that is noticed this late says that this process had no time, and nothing of the target.
constexpr Duration LatestTimeout = std::chrono::milliseconds(250);

asio::awaitable<Reachability> probeReachability(Endpoint target)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    const asio::ip::tcp::endpoint address(asio::ip::address_v4(target.address.value), target.port);
    const TimePoint startedAt = bootTime();
    stream.expires_after(ProbeTimeout);
    const auto [error] = co_await stream.async_connect(address, asio::as_tuple(asio::use_awaitable));
    if (!error) {
        co_return Reachability::Connected;
    }
    const bool isRefused = error == asio::error::connection_refused || error == asio::error::connection_reset;
    if (isRefused) {
        co_return Reachability::Refused;
    }
    const bool isLate = bootTime() - startedAt > LatestTimeout;
    co_return isLate ? Reachability::Unknown : Reachability::Silent;
}

} // namespace jasminequay
