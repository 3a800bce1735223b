// Sending of many datagrams with one system call.
#pragma once

#include "jasminequay/Fabric/datagrambatch.h"

namespace jasminequay
{

/// Queues datagrams and sends them together. The bytes must stay in place until flush().
class DatagramSender
{
public:
    DatagramSender() = default;

    /// Queues a datagram on a connected socket, or to an address.
    void queue(std::span<const std::uint8_t> bytes, const Endpoint *address = nullptr);

    /// Sends what is queued. Returns how many datagrams the kernel did not take.
    std::size_t flush(const UdpSocket &socket);

    /// Tells whether the next datagram does not fit without a flush.
    [[nodiscard]] bool isFull() const
    {
        return m_count == BatchSize;
    }

private:
    std::array<iovec, BatchSize> m_vectors{};
    std::array<sockaddr_in, BatchSize> m_addresses{};
    std::array<mmsghdr, BatchSize> m_headers{};
    std::size_t m_count = 0;
};

} // namespace jasminequay
