// The transport protocols that services use.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace jasminequay
{

/// A transport protocol; the values are the IP protocol numbers.
enum class Protocol : std::uint8_t { Tcp = 6, Udp = 17 };

/// Returns "tcp" or "udp".
std::string_view protocolName(Protocol protocol);

/// Returns the protocol with this name, or nothing.
std::optional<Protocol> protocolNamed(std::string_view name);

} // namespace jasminequay
