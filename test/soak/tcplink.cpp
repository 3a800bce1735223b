#include "tcplink.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace jasminequay::soak
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto Awaited = asio::as_tuple(asio::use_awaitable);
constexpr Duration SlowDelay = std::chrono::milliseconds(200);

struct TcpLink::Connection {
    tcp::socket caller;
    tcp::socket server;
    unsigned generation;
};

static tcp::endpoint endpointOf(Endpoint endpoint)
{
    return {asio::ip::address_v4(endpoint.address.value), endpoint.port};
}

TcpLink::TcpLink(asio::io_context &context, Endpoint listen, Endpoint to)
    : m_state(std::make_shared<State>(State{tcp::acceptor(context, endpointOf(listen)), to}))
{
    asio::co_spawn(context, accept(m_state), asio::detached);
}

TcpLink::~TcpLink()
{
    boost::system::error_code ignored; // nothing is left to be done with the listener
    m_state->acceptor.close(ignored);
}

Endpoint TcpLink::address() const
{
    const tcp::endpoint local = m_state->acceptor.local_endpoint();
    return {{local.address().to_v4().to_uint()}, local.port()};
}

asio::awaitable<void> TcpLink::accept(std::shared_ptr<State> state)
{
    while (state->acceptor.is_open()) {
        auto [error, caller] = co_await state->acceptor.async_accept(Awaited);
        if (error) {
            continue;
        }
        if (state->mood == TcpMood::Resets) {
            boost::system::error_code ignored; // the connection ends in any case
            caller.set_option(asio::socket_base::linger(true, 0), ignored);
            continue;
        }
        asio::co_spawn(state->acceptor.get_executor(), open(state, std::move(caller)), asio::detached);
    }
}

asio::awaitable<void> TcpLink::open(std::shared_ptr<State> state, tcp::socket caller)
{
    const auto connection = std::make_shared<Connection>(
        Connection{std::move(caller), tcp::socket(state->acceptor.get_executor()), state->generation});
    const auto [error] = co_await connection->server.async_connect(endpointOf(state->to), Awaited);
    if (error) {
        co_return;
    }
    for (const bool isAnswer : {false, true}) {
        asio::co_spawn(state->acceptor.get_executor(), pump(state, connection, isAnswer), asio::detached);
    }
}

asio::awaitable<void> TcpLink::pump(
    std::shared_ptr<State> state, std::shared_ptr<Connection> connection, bool isAnswer)
{
    tcp::socket &from = isAnswer ? connection->server : connection->caller;
    tcp::socket &to = isAnswer ? connection->caller : connection->server;
    std::array<char, 16384> buffer{};
    while (true) {
        const auto [error, size] = co_await from.async_read_some(asio::buffer(buffer), Awaited);
        const bool isLost = state->mood == TcpMood::Silent || connection->generation != state->generation
            || (isAnswer && state->mood == TcpMood::AnswersLost);
        if (isLost && !error) {
            continue;
        }
        if (state->mood == TcpMood::Slow) {
            asio::steady_timer timer(from.get_executor(), SlowDelay);
            co_await timer.async_wait(Awaited);
        }
        if (error) {
            boost::system::error_code ignored; // the other side may have closed first
            to.shutdown(tcp::socket::shutdown_send, ignored);
            co_return;
        }
        const auto [writeError, written]
            = co_await asio::async_write(to, asio::buffer(buffer, size), Awaited);
        if (writeError) {
            co_return;
        }
    }
}

} // namespace jasminequay::soak
