// An address and a port.
#pragma once

#include "jasminequay/Packet/ipv4address.h"

namespace jasminequay
{

/// An IPv4 address with a TCP or UDP port in host byte order.
struct Endpoint {
    Ipv4Address address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;

    /// Packs address and port into one word, for tables and hashes.
    [[nodiscard]] constexpr std::uint64_t packed() const
    {
        return (static_cast<std::uint64_t>(address.value) << 16) | port;
    }
};

/// Parses "a.b.c.d:port"; nothing for any other text or port zero.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// Prints "a.b.c.d:port".
std::string format(Endpoint endpoint);

} // namespace jasminequay
