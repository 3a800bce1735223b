// The packets that refuse a flow: a TCP reset or an ICMP "administratively prohibited".
#pragma once

#include "jasminequay/Packet/packetview.h"

#include <cstddef>
#include <span>

namespace jasminequay
{

/// The largest refusal: an IPv4 and an ICMP header with the quoted headers behind them.
constexpr std::size_t MaximumRefusalSize = 20 + 8 + 60 + 8;

/// Builds the refusal of `packet` into `buffer` and returns its length in bytes; zero where none may be sent.
std::size_t buildRefusal(const PacketView &packet, std::span<std::uint8_t, MaximumRefusalSize> buffer);

} // namespace jasminequay
