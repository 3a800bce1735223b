#include "listener.h"

#include <cstdlib>
#include <iostream>

namespace jasminequay::standin
{

Listener::Listener(boost::asio::io_context &context, Endpoint address, Handler handler)
    : m_descriptor(context)
    , m_handler(std::move(handler))
{
    withFailure(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(m_socket, UdpSocket::bindShared(address));
            return {};
        },
        [](const Failure &failure) {
            std::cerr << "stand-in: " << describe(failure) << '\n';
            std::exit(3);
        });
    m_descriptor.assign(m_socket.descriptor());
    wait();
}

Listener::~Listener()
{
    m_descriptor.release();
}

void Listener::wait()
{
    m_descriptor.async_wait(
        boost::asio::posix::stream_descriptor::wait_read, [this](boost::system::error_code error) {
            if (!error) {
                drain();
                wait();
            }
        });
}

void Listener::drain()
{
    for (std::size_t count = m_batch.receive(m_socket); count > 0; count = m_batch.receive(m_socket)) {
        for (std::size_t index = 0; index < count; ++index) {
            m_handler(m_batch.datagram(index));
        }
        if (count < BatchSize) {
            return;
        }
    }
}

void Listener::send(std::span<const std::uint8_t> bytes, Endpoint to)
{
    const sockaddr_in address = socketAddress(to);
    sendto(m_socket.descriptor(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&address),
        sizeof address);
}

} // namespace jasminequay::standin
