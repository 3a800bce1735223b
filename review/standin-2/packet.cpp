#include "packet.h"

namespace review
{

constexpr std::size_t HeadSize = 36;

/// The key of the sum that clients and servers share, and the system does not know.
constexpr std::uint64_t SumKey = 0x9e37'79b9'7f4a'7c15;

static void append(std::string &bytes, std::uint64_t value, unsigned size)
{
    for (unsigned byte = size; byte-- > 0;) {
        bytes += static_cast<char>((value >> (8 * byte)) & 0xff);
    }
}

static std::uint32_t read(std::string_view bytes, std::size_t offset, unsigned size)
{
    std::uint32_t value = 0;
    for (unsigned byte = 0; byte < size; ++byte) {
        value = (value << 8) | static_cast<std::uint8_t>(bytes[offset + byte]);
    }
    return value;
}

/// Returns the keyed sum over all fields except the echo (FNV-1a).
static std::uint32_t sumOf(const Packet &packet)
{
    std::string fields(1, static_cast<char>(packet.flags));
    append(fields, packet.sequence, 4);
    append(fields, packet.acknowledged, 4);
    append(fields, packet.source.address, 4);
    append(fields, packet.source.port, 2);
    append(fields, packet.destination.address, 4);
    append(fields, packet.destination.port, 2);
    fields += packet.data;
    std::uint64_t sum = SumKey;
    for (const char byte : fields) {
        sum = (sum ^ static_cast<std::uint8_t>(byte)) * 0x100'0000'01b3;
    }
    return static_cast<std::uint32_t>(sum >> 32) | 1;
}

std::string encode(const Packet &packet)
{
    std::string bytes;
    append(bytes, packet.data.size(), 2);
    append(bytes, packet.echo, 4);
    append(bytes, packet.flags, 1);
    append(bytes, 0, 5);
    append(bytes, packet.sequence, 4);
    append(bytes, packet.acknowledged, 4);
    append(bytes, sumOf(packet), 4);
    append(bytes, packet.destination.port, 2);
    append(bytes, packet.source.port, 2);
    append(bytes, packet.source.address, 4);
    append(bytes, packet.destination.address, 4);
    return bytes + packet.data;
}

std::optional<Packet> decode(std::string_view bytes)
{
    if (bytes.size() < HeadSize || read(bytes, 0, 2) != bytes.size() - HeadSize) {
        return std::nullopt;
    }
    Packet packet;
    packet.echo = read(bytes, 2, 4);
    packet.flags = static_cast<std::uint8_t>(read(bytes, 6, 1));
    packet.sequence = read(bytes, 12, 4);
    packet.acknowledged = read(bytes, 16, 4);
    packet.destination.port = static_cast<std::uint16_t>(read(bytes, 24, 2));
    packet.source.port = static_cast<std::uint16_t>(read(bytes, 26, 2));
    packet.source.address = read(bytes, 28, 4);
    packet.destination.address = read(bytes, 32, 4);
    packet.data = std::string(bytes.substr(HeadSize));
    const std::uint32_t sum = read(bytes, 20, 4);
    packet.isGenuine = sum == sumOf(packet);
    packet.isOfSystem = sum == 0 && packet.flags == FlagReset && packet.data.empty();
    return packet;
}

} // namespace review
