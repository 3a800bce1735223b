// Parsing of IPv4 packets with TCP, UDP or an ICMP error inside.
#pragma once

#include "jasminequay/Packet/packetview.h"

namespace jasminequay
{

/// Parses one IPv4 packet that fills `bytes`. Any bytes are safe; what cannot be handled carries its cause.
ParsedPacket parsePacket(std::span<std::uint8_t> bytes);

} // namespace jasminequay
