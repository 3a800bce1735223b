// Hashing for placement and tables. All instances must compute the same values, so the functions are fixed.
#pragma once

#include <cstdint>
#include <string_view>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace jasminequay
{

/// Hashes a text with XXH3 (64 bits).
inline std::uint64_t hashText(std::string_view text, std::uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// Mixes two words into one with XXH3 (64 bits).
inline std::uint64_t hashWords(std::uint64_t first, std::uint64_t second)
{
    const std::uint64_t words[2] = {first, second};
    return XXH3_64bits(words, sizeof words);
}

} // namespace jasminequay
