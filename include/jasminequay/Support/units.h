// Parsing and printing of durations and sizes, which carry their unit in settings.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminequay
{

/// Parses "250ms", "3s", "2m" or "1h"; nothing for any other text or a negative amount.
std::optional<Duration> parseDuration(std::string_view text);

/// Prints a duration with the largest unit that divides it.
std::string formatDuration(Duration duration);

/// Parses "4096B", "64KiB" or "1MiB" to bytes; nothing for any other text.
std::optional<std::uint64_t> parseSize(std::string_view text);

/// Parses a decimal number without sign that fits 64 bits; nothing for any other text.
std::optional<std::uint64_t> parseNumber(std::string_view text);

/// Parses a finite decimal number; nothing for any other text.
std::optional<double> parseReal(std::string_view text);

} // namespace jasminequay
