// Receiving of many datagrams with one system call.
#pragma once

#include "jasminequay/Fabric/udpsocket.h"

#include <sys/socket.h>

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace jasminequay
{

constexpr std::size_t BatchSize = 64;

/// The largest datagram that is received whole, in bytes.
constexpr std::size_t MaximumDatagram = 2048;

/// The buffers of one batch. They are reused, so that receiving allocates nothing.
class DatagramBatch
{
public:
    /// `headroom` bytes stay free before each datagram, for what is to be sent before it.
    explicit DatagramBatch(std::size_t headroom = 0);

    /// Receives what has arrived, up to a batch. Returns the number of datagrams; zero where there is none.
    std::size_t receive(const UdpSocket &socket);

    /// Returns the bytes of a datagram; empty if it was larger than a buffer.
    [[nodiscard]] std::span<std::uint8_t> datagram(std::size_t index);

    /// Returns the headroom before a datagram together with its bytes.
    [[nodiscard]] std::span<std::uint8_t> datagramWithHeadroom(std::size_t index);

private:
    std::size_t m_headroom;
    std::vector<std::array<std::uint8_t, MaximumDatagram>> m_buffers;
    std::array<iovec, BatchSize> m_vectors{};
    std::array<mmsghdr, BatchSize> m_headers{};
};

} // namespace jasminequay
