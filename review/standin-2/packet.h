// The packets of the platform, as PROTOCOL.md describes them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace review
{

constexpr std::uint8_t FlagOpening = 128;
constexpr std::uint8_t FlagAcknowledging = 4;
constexpr std::uint8_t FlagEnd = 32;
constexpr std::uint8_t FlagReset = 8;

/// One end of a flow. The address is in host byte order.
struct End {
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const End &) const = default;
};

struct Packet {
    End source;
    End destination;
    std::uint8_t flags = 0;
    std::uint32_t echo = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::string data;
    bool isGenuine = true; ///< Whether the sum is that of a client or a server.
    bool isOfSystem = false; ///< Whether it has the form of a reset of the system's own.

    [[nodiscard]] bool has(std::uint8_t flag) const
    {
        return (flags & flag) != 0;
    }
};

std::string encode(const Packet &packet);
std::optional<Packet> decode(std::string_view bytes);

} // namespace review
