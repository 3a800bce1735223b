// A TCP proxy on loopback that delays, resets and silences connections, also one way.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Support/timepoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace jasminequay::soak
{

/// How a proxy treats connections, also those that are open.
enum class TcpMood : std::uint8_t {
    Well,
    Slow, ///< Each piece is delayed.
    Resets, ///< New connections are reset.
    Silent, ///< Nothing passes, and nobody is told.
    AnswersLost, ///< Requests pass, and answers do not.
};

/// Passes connections on until it is destroyed.
class TcpLink
{
public:
    /// Throws boost::system::system_error if the address cannot be bound; port 0 takes a free one.
    TcpLink(boost::asio::io_context &context, Endpoint listen, Endpoint to);
    ~TcpLink();
    TcpLink(const TcpLink &) = delete;
    TcpLink &operator=(const TcpLink &) = delete;

    void setMood(TcpMood mood)
    {
        m_state->mood = mood;
    }

    /// Makes the connections that are open now silent for good.
    void silenceOpenConnections()
    {
        ++m_state->generation;
    }

    /// Returns where it listens.
    [[nodiscard]] Endpoint address() const;

private:
    struct State {
        boost::asio::ip::tcp::acceptor acceptor;
        Endpoint to;
        TcpMood mood = TcpMood::Well;
        unsigned generation = 0; ///< Connections of earlier ones are silent.
    };
    struct Connection;
    static boost::asio::awaitable<void> accept(std::shared_ptr<State> state);
    static boost::asio::awaitable<void> open(
        std::shared_ptr<State> state, boost::asio::ip::tcp::socket caller);
    static boost::asio::awaitable<void> pump(
        std::shared_ptr<State> state, std::shared_ptr<Connection> connection, bool isAnswer);

    std::shared_ptr<State> m_state;
};

} // namespace jasminequay::soak
