// UDP sockets towards the fabric and the peers.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Support/failure.h"

#include <netinet/in.h>

namespace jasminequay
{

/// Owns a non-blocking UDP socket.
class UdpSocket
{
public:
    UdpSocket() = default;
    ~UdpSocket();
    UdpSocket(UdpSocket &&other) noexcept;
    UdpSocket &operator=(UdpSocket &&other) noexcept;
    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;

    /// Opens a socket that shares its address with the sockets of other traffic threads.
    static Result<UdpSocket> bindShared(Endpoint address);

    /// Opens a socket that sends to one address only.
    static Result<UdpSocket> connectTo(Endpoint address);

    [[nodiscard]] int descriptor() const
    {
        return m_descriptor;
    }

private:
    explicit UdpSocket(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    int m_descriptor = -1;
};

/// Converts an endpoint to the form that the socket calls take.
sockaddr_in socketAddress(Endpoint endpoint);

} // namespace jasminequay
