#include "jasminequay/Fabric/datagramsender.h"

#include <cassert>
#include <utility>

namespace jasminequay
{

void DatagramSender::queue(std::span<const std::uint8_t> bytes, const Endpoint *address)
{
    assert(!isFull() && "a full sender must be flushed first");
    msghdr &header = m_headers[m_count].msg_hdr;
    m_vectors[m_count] = {const_cast<std::uint8_t *>(bytes.data()), bytes.size()};
    header = {};
    header.msg_iov = &m_vectors[m_count];
    header.msg_iovlen = 1;
    if (address != nullptr) {
        m_addresses[m_count] = socketAddress(*address);
        header.msg_name = &m_addresses[m_count];
        header.msg_namelen = sizeof(sockaddr_in);
    }
    ++m_count;
}

std::size_t DatagramSender::flush(const UdpSocket &socket)
{
    const std::size_t count = std::exchange(m_count, 0);
    std::size_t position = 0;
    std::size_t refused = 0;
    while (position < count) {
        const auto remaining = static_cast<unsigned>(count - position);
        const int sent = sendmmsg(socket.descriptor(), &m_headers[position], remaining, MSG_DONTWAIT);
        if (sent > 0) {
            position += static_cast<std::size_t>(sent);
            continue;
        }
        // The first of the rest was refused: a full buffer, or the answer of an earlier datagram that nobody
        // took.
        ++refused;
        ++position;
    }
    return refused;
}

} // namespace jasminequay
