#include "jasminequay/Packet/checksum.h"

namespace jasminequay
{

std::uint16_t loadWord(std::span<const std::uint8_t> bytes, std::size_t offset)
{
    return static_cast<std::uint16_t>((bytes[offset] << 8) | bytes[offset + 1]);
}

std::uint32_t loadLong(std::span<const std::uint8_t> bytes, std::size_t offset)
{
    return (static_cast<std::uint32_t>(loadWord(bytes, offset)) << 16) | loadWord(bytes, offset + 2);
}

void storeWord(std::span<std::uint8_t> bytes, std::size_t offset, std::uint16_t value)
{
    bytes[offset] = static_cast<std::uint8_t>(value >> 8);
    bytes[offset + 1] = static_cast<std::uint8_t>(value);
}

void storeLong(std::span<std::uint8_t> bytes, std::size_t offset, std::uint32_t value)
{
    storeWord(bytes, offset, static_cast<std::uint16_t>(value >> 16));
    storeWord(bytes, offset + 2, static_cast<std::uint16_t>(value));
}

std::uint32_t addWords(std::uint32_t sum, std::span<const std::uint8_t> bytes)
{
    std::size_t offset = 0;
    for (; offset + 1 < bytes.size(); offset += 2) {
        sum += loadWord(bytes, offset);
    }
    if (offset < bytes.size()) {
        sum += static_cast<std::uint32_t>(bytes[offset]) << 8;
    }
    return sum;
}

std::uint16_t foldChecksum(std::uint32_t sum)
{
    sum = (sum & 0xffffU) + (sum >> 16);
    sum = (sum & 0xffffU) + (sum >> 16);
    return static_cast<std::uint16_t>(~sum);
}

std::uint16_t updateChecksum(std::uint16_t checksum, std::uint16_t before, std::uint16_t after)
{
    const std::uint32_t sum
        = static_cast<std::uint16_t>(~checksum) + static_cast<std::uint16_t>(~before) + after;
    return foldChecksum(sum);
}

std::uint16_t updateChecksumLong(std::uint16_t checksum, std::uint32_t before, std::uint32_t after)
{
    checksum = updateChecksum(
        checksum, static_cast<std::uint16_t>(before >> 16), static_cast<std::uint16_t>(after >> 16));
    return updateChecksum(checksum, static_cast<std::uint16_t>(before), static_cast<std::uint16_t>(after));
}

} // namespace jasminequay
