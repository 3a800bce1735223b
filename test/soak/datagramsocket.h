// A UDP socket that hands each datagram to a handler.
#pragma once

#include "jasminequay/Packet/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace jasminequay::soak
{

/// Receives until it is destroyed.
class DatagramSocket
{
public:
    using Handler = std::function<void(std::string_view bytes, Endpoint from)>;

    /// Throws boost::system::system_error if the address cannot be bound.
    DatagramSocket(boost::asio::io_context &context, Endpoint address, Handler handler);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// Sends a datagram; one that the kernel does not take is lost, as on any network.
    void send(std::string_view bytes, Endpoint to);

private:
    struct State {
        boost::asio::ip::udp::socket socket;
        Handler handler;
    };
    static boost::asio::awaitable<void> receive(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace jasminequay::soak
