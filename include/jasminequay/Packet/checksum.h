// Internet checksums, computed whole and updated incrementally.
#pragma once

#include <cstdint>
#include <span>

namespace jasminequay
{

/// Reads a 16-bit word in network byte order.
std::uint16_t loadWord(std::span<const std::uint8_t> bytes, std::size_t offset);

/// Reads a 32-bit word in network byte order.
std::uint32_t loadLong(std::span<const std::uint8_t> bytes, std::size_t offset);

/// Writes a 16-bit word in network byte order.
void storeWord(std::span<std::uint8_t> bytes, std::size_t offset, std::uint16_t value);

/// Writes a 32-bit word in network byte order.
void storeLong(std::span<std::uint8_t> bytes, std::size_t offset, std::uint32_t value);

/// Adds the words of `bytes` to a running sum.
std::uint32_t addWords(std::uint32_t sum, std::span<const std::uint8_t> bytes);

/// Folds a running sum into the checksum that goes on the wire.
std::uint16_t foldChecksum(std::uint32_t sum);

/// Returns `checksum` corrected for one changed word (RFC 1624, equation 3).
std::uint16_t updateChecksum(std::uint16_t checksum, std::uint16_t before, std::uint16_t after);

/// Returns `checksum` corrected for a changed 32-bit word.
std::uint16_t updateChecksumLong(std::uint16_t checksum, std::uint32_t before, std::uint32_t after);

} // namespace jasminequay
