#include "datagramsocket.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

namespace jasminequay::soak
{

namespace asio = boost::asio;
using asio::ip::udp;

constexpr auto Awaited = asio::as_tuple(asio::use_awaitable);
constexpr int BufferBytes = 4 << 20;

DatagramSocket::DatagramSocket(asio::io_context &context, Endpoint address, Handler handler)
    : m_state(std::make_shared<State>(State{udp::socket(context), std::move(handler)}))
{
    const udp::endpoint local(asio::ip::address_v4(address.address.value), address.port);
    m_state->socket.open(local.protocol());
    m_state->socket.set_option(udp::socket::receive_buffer_size(BufferBytes));
    m_state->socket.bind(local);
    m_state->socket.non_blocking(true);
    asio::co_spawn(context, receive(m_state), asio::detached);
}

DatagramSocket::~DatagramSocket()
{
    m_state->handler = nullptr;
    boost::system::error_code ignored; // nothing is left to be done with the socket
    m_state->socket.close(ignored);
}

void DatagramSocket::send(std::string_view bytes, Endpoint to)
{
    boost::system::error_code lost; // a datagram that is not taken is lost
    m_state->socket.send_to(asio::buffer(bytes.data(), bytes.size()),
        udp::endpoint(asio::ip::address_v4(to.address.value), to.port), 0, lost);
}

asio::awaitable<void> DatagramSocket::receive(std::shared_ptr<State> state)
{
    std::array<char, 9000> buffer{};
    while (state->socket.is_open()) {
        udp::endpoint sender;
        const auto [error, size]
            = co_await state->socket.async_receive_from(asio::buffer(buffer), sender, Awaited);
        if (!error && state->handler) {
            state->handler({buffer.data(), size}, {{sender.address().to_v4().to_uint()}, sender.port()});
        }
    }
}

} // namespace jasminequay::soak
