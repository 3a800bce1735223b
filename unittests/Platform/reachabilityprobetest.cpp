// Probes against listeners on loopback.
#include "jasminequay/Platform/reachabilityprobe.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace jasminequay
{

namespace asio = boost::asio;

/// A listener that answers each connection with the same bytes; with none, it stays silent.
class Listener
{
public:
    Listener(asio::io_context &context, std::string answer)
        : m_acceptor(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_answer(std::move(answer))
    {
        asio::co_spawn(context, run(), asio::detached);
    }

    [[nodiscard]] Endpoint address() const
    {
        return {{0x7f000001}, m_acceptor.local_endpoint().port()};
    }

private:
    asio::awaitable<void> run()
    {
        while (true) {
            m_sockets.push_back(co_await m_acceptor.async_accept(asio::use_awaitable));
            co_await asio::async_write(m_sockets.back(), asio::buffer(m_answer), asio::use_awaitable);
        }
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::string m_answer;
    std::vector<asio::ip::tcp::socket> m_sockets;
};

static TargetProbe probeOnce(asio::io_context &context, Endpoint address)
{
    std::optional<TargetProbe> found;
    asio::co_spawn(context, probeTarget(address, {"/healthz", "x-name"}),
        [&](const std::exception_ptr &, TargetProbe probe) { found = std::move(probe); });
    while (!found) {
        context.run_one_for(std::chrono::seconds(20));
    }
    return *found;
}

TEST(ReachabilityProbe, TellsWhoAnswersWhateverItsHealth)
{
    for (const char *const status : {"200 OK", "503 Service Unavailable"}) {
        asio::io_context context;
        Listener listener(
            context, "HTTP/1.1 " + std::string(status) + "\r\nX-Name: i-7\r\nContent-Length: 0\r\n\r\n");
        const TargetProbe probe = probeOnce(context, listener.address());
        EXPECT_EQ(probe.reachability, Reachability::Connected);
        EXPECT_EQ(probe.name, "i-7");
    }
}

TEST(ReachabilityProbe, AProcessThatListensButDoesNotAnswerLives)
{
    asio::io_context context;
    Listener listener(context, "");
    const TargetProbe probe = probeOnce(context, listener.address());
    EXPECT_EQ(probe.reachability, Reachability::Connected);
    EXPECT_EQ(probe.name, "");
}

TEST(ReachabilityProbe, NobodyThereIsARefusal)
{
    asio::io_context context;
    EXPECT_EQ(probeOnce(context, {{0x7f000001}, 1}).reachability, Reachability::Refused);
}

} // namespace jasminequay
