#include "jasminequay/Fabric/datagrambatch.h"

namespace jasminequay
{

DatagramBatch::DatagramBatch(std::size_t headroom)
    : m_headroom(headroom)
    , m_buffers(BatchSize)
{
    for (std::size_t index = 0; index < BatchSize; ++index) {
        m_vectors[index] = {m_buffers[index].data() + headroom, MaximumDatagram - headroom};
        m_headers[index].msg_hdr.msg_iov = &m_vectors[index];
        m_headers[index].msg_hdr.msg_iovlen = 1;
    }
}

std::size_t DatagramBatch::receive(const UdpSocket &socket)
{
    const int count = recvmmsg(socket.descriptor(), m_headers.data(), BatchSize, MSG_DONTWAIT, nullptr);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
}

std::span<std::uint8_t> DatagramBatch::datagram(std::size_t index)
{
    const mmsghdr &header = m_headers[index];
    const bool isCut = (header.msg_hdr.msg_flags & MSG_TRUNC) != 0;
    return std::span(m_buffers[index]).subspan(m_headroom, isCut ? 0 : header.msg_len);
}

std::span<std::uint8_t> DatagramBatch::datagramWithHeadroom(std::size_t index)
{
    return std::span(m_buffers[index]).first(m_headroom + datagram(index).size());
}

} // namespace jasminequay
