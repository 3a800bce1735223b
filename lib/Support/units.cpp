#include "jasminequay/Support/units.h"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace jasminequay
{

namespace
{

struct Unit {
    std::string_view suffix;
    std::int64_t factor;
};

constexpr std::array<Unit, 5> DurationUnits{{{"h", 3'600'000'000'000}, {"m", 60'000'000'000},
    {"s", 1'000'000'000}, {"ms", 1'000'000}, {"us", 1'000}}};

constexpr std::array<Unit, 3> SizeUnits{{{"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}};

} // namespace

template <std::size_t Count>
static std::optional<std::int64_t> parseAmount(std::string_view text, const std::array<Unit, Count> &units)
{
    std::int64_t amount = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), amount);
    if (error != std::errc() || amount < 0) {
        return std::nullopt;
    }
    const std::string_view suffix = text.substr(static_cast<std::size_t>(end - text.data()));
    for (const Unit &unit : units) {
        if (unit.suffix != suffix) {
            continue;
        }
        if (amount > std::numeric_limits<std::int64_t>::max() / unit.factor) {
            return std::nullopt;
        }
        return amount * unit.factor;
    }
    return std::nullopt;
}

std::optional<Duration> parseDuration(std::string_view text)
{
    const std::optional<std::int64_t> amount = parseAmount(text, DurationUnits);
    return amount ? std::optional<Duration>(Duration(*amount)) : std::nullopt;
}

std::string formatDuration(Duration duration)
{
    for (const Unit &unit : DurationUnits) {
        if (duration.count() != 0 && duration.count() % unit.factor == 0) {
            return std::to_string(duration.count() / unit.factor) + std::string(unit.suffix);
        }
    }
    return duration.count() == 0 ? "0s" : std::to_string(duration.count() / 1000) + "us";
}

std::optional<std::uint64_t> parseSize(std::string_view text)
{
    const std::optional<std::int64_t> amount = parseAmount(text, SizeUnits);
    return amount ? std::optional<std::uint64_t>(static_cast<std::uint64_t>(*amount)) : std::nullopt;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::optional<double> parseReal(std::string_view text)
{
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(number)) {
        return std::nullopt;
    }
    return number;
}

} // namespace jasminequay
