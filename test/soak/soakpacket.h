// Packets as the ends of a flow read and write them, with the sum that shows whether one was changed.
#pragma once

#include "jasminequay/Packet/endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminequay::soak
{

/// The kinds of packets; some go together.
enum PacketFlag : std::uint8_t {
    FlagReset = 8,
    FlagAnswering = 4,
    FlagEnd = 32,
    FlagOpening = 128,
};

/// A packet of either end of a flow.
struct SoakPacket {
    Endpoint source;
    Endpoint destination;
    std::uint8_t flags = 0;
    std::uint32_t token = 0; ///< Sent back as it was last received; not part of the sum.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0; ///< On opening packets the number of the copy.
    std::string data;
    bool isGenuine = false; ///< Whether the sum is that of an end.
    bool isFromInstance = false; ///< Whether it is a reset without a sum, as instances send them.

    [[nodiscard]] bool has(PacketFlag flag) const
    {
        return (flags & flag) != 0;
    }
};

/// Writes a packet with its sum.
std::string encodePacket(const SoakPacket &packet);

/// Reads a packet; nothing for what has no whole head.
std::optional<SoakPacket> decodePacket(std::string_view bytes);

} // namespace jasminequay::soak
