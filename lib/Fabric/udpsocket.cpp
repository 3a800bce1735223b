#include "jasminequay/Fabric/udpsocket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace jasminequay
{

constexpr int BufferSize = 4 << 20;

UdpSocket::~UdpSocket()
{
    if (m_descriptor >= 0) {
        close(m_descriptor);
    }
}

UdpSocket::UdpSocket(UdpSocket &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

UdpSocket &UdpSocket::operator=(UdpSocket &&other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

sockaddr_in socketAddress(Endpoint endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(endpoint.address.value);
    return address;
}

static int openSocket()
{
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    // The kernel may grant less than this; a smaller buffer only loses packets earlier.
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &BufferSize, sizeof BufferSize);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &BufferSize, sizeof BufferSize);
    return descriptor;
}

Result<UdpSocket> UdpSocket::bindShared(Endpoint address)
{
    UdpSocket socket(openSocket());
    const int enabled = 1;
    const sockaddr_in local = socketAddress(address);
    const bool isBound = socket.m_descriptor >= 0
        && setsockopt(socket.m_descriptor, SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof enabled) == 0
        && bind(socket.m_descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof local) == 0;
    if (!isBound) {
        return fail(Step::OpenFabric, format(address), systemMessage());
    }
    return socket;
}

Result<UdpSocket> UdpSocket::connectTo(Endpoint address)
{
    UdpSocket socket(openSocket());
    const sockaddr_in remote = socketAddress(address);
    const bool isConnected = socket.m_descriptor >= 0
        && connect(socket.m_descriptor, reinterpret_cast<const sockaddr *>(&remote), sizeof remote) == 0;
    if (!isConnected) {
        return fail(Step::OpenFabric, format(address), systemMessage());
    }
    return socket;
}

} // namespace jasminequay
