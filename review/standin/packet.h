// The packets of clients and endpoints.
#pragma once

#include "base.h"

#include <optional>
#include <string>
#include <string_view>

namespace review
{

constexpr std::uint8_t Syn = 128;
constexpr std::uint8_t Ack = 4;
constexpr std::uint8_t Fin = 32;
constexpr std::uint8_t Rst = 8;

struct Packet {
    std::uint32_t echo = 0;
    std::uint8_t flags = 0;
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    Address source;
    Address destination;
    std::string data;
    bool isGenuine = false; ///< Whether the sum is the one that an end of the flow wrote.
    bool isSystemReset = false; ///< Whether it has the form of a reset of the system's own.
};

/// Returns the bytes of a packet with the sum of the ends.
std::string encode(const Packet &packet);

/// Returns the packet in a datagram; nothing if the datagram has no such form.
std::optional<Packet> decode(std::string_view bytes);

} // namespace review
