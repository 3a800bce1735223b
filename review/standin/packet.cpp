#include "packet.h"

#include <array>

namespace review
{

constexpr std::size_t HeadSize = 36;

static void put(std::string &bytes, std::size_t offset, std::uint64_t value, unsigned size)
{
    for (unsigned index = 0; index < size; ++index) {
        bytes[offset + index] = static_cast<char>(value >> 8 * (size - 1 - index));
    }
}

static std::uint32_t get(std::string_view bytes, std::size_t offset, unsigned size)
{
    std::uint32_t value = 0;
    for (unsigned index = 0; index < size; ++index) {
        value = value << 8 | static_cast<unsigned char>(bytes[offset + index]);
    }
    return value;
}

/// Sums all but the echo, the padding, the BOUNCED flag and the sum itself, with a key that only the ends
/// know.
static std::uint32_t sumOf(std::string_view bytes)
{
    std::uint64_t hash = 0x9e3779b97f4a7c15;
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        const bool isLeftOut
            = (index >= 2 && index < 6) || (index >= 7 && index < 12) || (index >= 20 && index < 24);
        unsigned char byte = isLeftOut ? 0 : static_cast<unsigned char>(bytes[index]);
        if (index == 6) {
            byte &= static_cast<unsigned char>(~2U);
        }
        hash = (hash ^ byte) * 0x100000001b3;
    }
    return static_cast<std::uint32_t>(hash >> 32) | 1U;
}

std::string encode(const Packet &packet)
{
    std::string bytes(HeadSize, '\0');
    bytes += packet.data;
    put(bytes, 0, packet.data.size(), 2);
    put(bytes, 2, packet.echo, 4);
    put(bytes, 6, packet.flags, 1);
    put(bytes, 12, packet.seq, 4);
    put(bytes, 16, packet.ack, 4);
    put(bytes, 24, packet.destination.port, 2);
    put(bytes, 26, packet.source.port, 2);
    put(bytes, 28, packet.source.ip, 4);
    put(bytes, 32, packet.destination.ip, 4);
    put(bytes, 20, sumOf(bytes), 4);
    return bytes;
}

std::optional<Packet> decode(std::string_view bytes)
{
    if (bytes.size() < HeadSize || bytes.size() != HeadSize + get(bytes, 0, 2)) {
        return std::nullopt;
    }
    Packet packet;
    packet.echo = get(bytes, 2, 4);
    packet.flags = static_cast<std::uint8_t>(get(bytes, 6, 1));
    packet.seq = get(bytes, 12, 4);
    packet.ack = get(bytes, 16, 4);
    packet.destination = {get(bytes, 32, 4), static_cast<std::uint16_t>(get(bytes, 24, 2))};
    packet.source = {get(bytes, 28, 4), static_cast<std::uint16_t>(get(bytes, 26, 2))};
    packet.data = std::string(bytes.substr(HeadSize));
    const std::uint32_t sum = get(bytes, 20, 4);
    packet.isGenuine = sum == sumOf(bytes);
    packet.isSystemReset = sum == 0 && packet.flags == Rst && packet.data.empty();
    return packet;
}

} // namespace review
