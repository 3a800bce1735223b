// Parsers of values that several settings files share.
#pragma once

#include "jasminequay/Support/timepoint.h"
#include "jasminequay/Support/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminequay
{

/// Parses a name of at most 64 characters without spaces, quotes, '=' and '/'.
std::optional<std::string> parseName(std::string_view text);

/// Parses "info", "warning" or "error".
std::optional<std::string> parseLogLevel(std::string_view text);

/// Parses "true" or "false".
std::optional<bool> parseTruth(std::string_view text);

/// Parses an amount of seconds or milliseconds that may have a fraction: "1.5s", "250ms".
std::optional<Duration> parseFractionalDuration(std::string_view text);

/// Parses the same with a sign before it: "-1.5s".
std::optional<Duration> parseSignedDuration(std::string_view text);

/// Parses a number within bounds.
template <std::uint64_t Least, std::uint64_t Most>
std::optional<std::uint64_t> parseWithin(std::string_view text)
{
    const std::optional<std::uint64_t> number = parseNumber(text);
    return number && *number >= Least && *number <= Most ? number : std::nullopt;
}

} // namespace jasminequay
