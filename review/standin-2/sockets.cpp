#include "sockets.h"

#include <cerrno>
#include <cstring>
#include <random>
#include <stdexcept>

#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

constexpr int PageTimeoutMs = 100;

static sockaddr_in nativeAddress(std::uint32_t address, std::uint16_t port)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_addr.s_addr = htonl(address);
    native.sin_port = htons(port);
    return native;
}

static bool bindTo(int descriptor, std::uint32_t address, std::uint16_t port)
{
    const sockaddr_in native = nativeAddress(address, port);
    return bind(descriptor, reinterpret_cast<const sockaddr *>(&native), sizeof native) == 0;
}

static int opened(int type, std::uint32_t address, std::uint16_t port)
{
    const int descriptor = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    if (type == SOCK_STREAM) {
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    }
    if (descriptor < 0 || !bindTo(descriptor, address, port)) {
        throw std::runtime_error("cannot bind " + format(End{address, port}) + ": " + std::strerror(errno));
    }
    return descriptor;
}

int listenAt(std::uint32_t address, std::uint16_t port)
{
    const int descriptor = opened(SOCK_STREAM, address, port);
    listen(descriptor, 128);
    return descriptor;
}

int bindDatagrams(std::uint32_t address, std::uint16_t port)
{
    return opened(SOCK_DGRAM, address, port);
}

void setNonBlocking(int descriptor)
{
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
}

void sendAll(int descriptor, std::string_view bytes)
{
    while (!bytes.empty()) {
        pollfd ready{descriptor, POLLOUT, 0};
        const ssize_t sent = poll(&ready, 1, PageTimeoutMs) == 1
            ? send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL)
            : -1;
        if (sent <= 0) {
            return;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
}

void sendDatagram(int descriptor, std::string_view bytes, End to)
{
    const sockaddr_in native = nativeAddress(to.address, to.port);
    sendto(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr *>(&native),
        sizeof native);
}

bool receiveDatagram(int descriptor, std::string &bytes, End &from)
{
    char buffer[4096];
    sockaddr_in native{};
    socklen_t size = sizeof native;
    const ssize_t count = recvfrom(
        descriptor, buffer, sizeof buffer, MSG_DONTWAIT, reinterpret_cast<sockaddr *>(&native), &size);
    if (count < 0) {
        return false;
    }
    bytes.assign(buffer, static_cast<std::size_t>(count));
    from = {ntohl(native.sin_addr.s_addr), ntohs(native.sin_port)};
    return true;
}

int statusOf(End server, const std::string &path)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in native = nativeAddress(server.address, server.port);
    connect(descriptor, reinterpret_cast<const sockaddr *>(&native), sizeof native);
    sendAll(descriptor, "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    pollfd ready{descriptor, POLLIN, 0};
    char buffer[512];
    const ssize_t count
        = poll(&ready, 1, PageTimeoutMs) == 1 ? recv(descriptor, buffer, sizeof buffer, MSG_DONTWAIT) : -1;
    close(descriptor);
    const std::string answer(buffer, count > 0 ? static_cast<std::size_t>(count) : 0);
    return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
}

std::uint16_t freePorts(std::uint32_t address, unsigned count)
{
    std::random_device random;
    for (unsigned attempt = 0; attempt < 200; ++attempt) {
        const auto first = static_cast<std::uint16_t>(20000 + random() % 10000);
        bool areFree = true;
        for (unsigned offset = 0; areFree && offset < count; ++offset) {
            const auto port = static_cast<std::uint16_t>(first + offset);
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
                areFree = areFree && bindTo(descriptor, address, port);
                close(descriptor);
            }
        }
        if (areFree) {
            return first;
        }
    }
    throw std::runtime_error("no free ports");
}

std::string format(std::uint32_t address)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        text += std::to_string((address >> shift) & 0xff) + (shift > 0 ? "." : "");
    }
    return text;
}

std::string format(End end)
{
    return format(end.address) + ":" + std::to_string(end.port);
}

} // namespace review
