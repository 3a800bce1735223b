#include "soakpacket.h"

#include "jasminequay/Support/hash.h"

#include <boost/endian/conversion.hpp>

namespace jasminequay::soak
{

namespace endian = boost::endian;

constexpr std::size_t HeadSize = 36;
constexpr std::size_t FlagsOffset = 6;
constexpr std::size_t SumOffset = 20;

/// Only the ends know it.
constexpr std::uint64_t SumKey = 0x5eed0f7a11;

static const unsigned char *at(std::string_view bytes, std::size_t offset)
{
    return reinterpret_cast<const unsigned char *>(bytes.data()) + offset;
}

static unsigned char *at(std::string &bytes, std::size_t offset)
{
    return reinterpret_cast<unsigned char *>(bytes.data()) + offset;
}

/// Sums everything but the token, the padding and the sum itself.
static std::uint32_t sumOf(std::string_view bytes)
{
    std::string summed(bytes);
    std::fill(summed.begin() + 2, summed.begin() + FlagsOffset, '\0');
    std::fill(summed.begin() + FlagsOffset + 1, summed.begin() + 12, '\0');
    std::fill(summed.begin() + SumOffset, summed.begin() + SumOffset + 4, '\0');
    return static_cast<std::uint32_t>(hashText(summed, SumKey)) | 1U;
}

std::string encodePacket(const SoakPacket &packet)
{
    std::string bytes(HeadSize, '\0');
    bytes += packet.data;
    endian::store_big_u16(at(bytes, 0), static_cast<std::uint16_t>(packet.data.size()));
    endian::store_big_u32(at(bytes, 2), packet.token);
    bytes[FlagsOffset] = static_cast<char>(packet.flags);
    endian::store_big_u32(at(bytes, 12), packet.sequence);
    endian::store_big_u32(at(bytes, 16), packet.acknowledged);
    endian::store_big_u16(at(bytes, 24), packet.destination.port);
    endian::store_big_u16(at(bytes, 26), packet.source.port);
    endian::store_big_u32(at(bytes, 28), packet.source.address.value);
    endian::store_big_u32(at(bytes, 32), packet.destination.address.value);
    endian::store_big_u32(at(bytes, SumOffset), sumOf(bytes));
    return bytes;
}

std::optional<SoakPacket> decodePacket(std::string_view bytes)
{
    if (bytes.size() < HeadSize || bytes.size() != HeadSize + endian::load_big_u16(at(bytes, 0))) {
        return std::nullopt;
    }
    SoakPacket packet;
    packet.token = endian::load_big_u32(at(bytes, 2));
    packet.flags = static_cast<std::uint8_t>(bytes[FlagsOffset]);
    packet.sequence = endian::load_big_u32(at(bytes, 12));
    packet.acknowledged = endian::load_big_u32(at(bytes, 16));
    packet.destination = {{endian::load_big_u32(at(bytes, 32))}, endian::load_big_u16(at(bytes, 24))};
    packet.source = {{endian::load_big_u32(at(bytes, 28))}, endian::load_big_u16(at(bytes, 26))};
    packet.data = bytes.substr(HeadSize);
    const std::uint32_t sum = endian::load_big_u32(at(bytes, SumOffset));
    packet.isGenuine = sum == sumOf(bytes);
    packet.isFromInstance = sum == 0 && packet.flags == FlagReset && packet.data.empty();
    return packet;
}

} // namespace jasminequay::soak
