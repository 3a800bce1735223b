// Builds whole IPv4 packets for stand-ins and tests.
#pragma once

#include "jasminequay/Packet/packetview.h"

#include <cstdint>
#include <span>
#include <vector>

namespace jasminequay::standin
{

using Bytes = std::vector<std::uint8_t>;

/// The fields of a TCP segment that stand-ins use.
struct Segment {
    Endpoint source;
    Endpoint destination;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    TcpFlags flags;
    std::span<const std::uint8_t> payload;
};

/// Builds a TCP packet with valid checksums.
Bytes makeTcp(const Segment &segment);

/// Builds a UDP packet with valid checksums.
Bytes makeUdp(Endpoint source, Endpoint destination, std::span<const std::uint8_t> payload);

/// Reads a TCP packet; the payload points into the packet. The checksum must be valid.
Segment readTcp(const PacketView &packet);

/// Returns the payload of a UDP packet.
std::span<const std::uint8_t> udpPayload(const PacketView &packet);

/// Tells whether the transport checksum of a packet is valid.
bool hasValidChecksum(const PacketView &packet);

} // namespace jasminequay::standin
