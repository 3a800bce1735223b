#include "jasminequay/Fabric/datagrambatch.h"

namespace jasminequay
{

DatagramBatch::DatagramBatch()
    : m_buffers(BatchSize)
{
    for (std::size_t index = 0; index < BatchSize; ++index) {
        m_vectors[index] = {m_buffers[index].data(), MaximumDatagram};
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
    return std::span(m_buffers[index]).first(isCut ? 0 : header.msg_len);
}

} // namespace jasminequay
