// A UDP socket that calls a handler for each datagram.
#pragma once

#include "packetfactory.h"

#include "jasminequay/Fabric/datagrambatch.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>

#include <functional>

namespace jasminequay::standin
{

/// Receives on one socket, on the thread of the context.
class Listener
{
public:
    using Handler = std::function<void(std::span<std::uint8_t>)>;

    /// Ends the program with a message if the address cannot be bound.
    Listener(boost::asio::io_context &context, Endpoint address, Handler handler);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// Sends from the socket.
    void send(std::span<const std::uint8_t> bytes, Endpoint to);

    /// Receives again and again until nothing is left.
    void drain();

private:
    void wait();

    UdpSocket m_socket;
    DatagramBatch m_batch;
    boost::asio::posix::stream_descriptor m_descriptor;
    Handler m_handler;
};

} // namespace jasminequay::standin
