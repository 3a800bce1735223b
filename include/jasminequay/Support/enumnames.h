// Tables that give each value of an enum class its name, for settings, logs and metrics.
#pragma once

#include <array>
#include <cassert>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace jasminequay
{

/// A constant table of the names of an enumeration.
template <typename Enum, std::size_t Count>
using EnumNames = std::array<std::pair<Enum, std::string_view>, Count>;

/// Returns the name of a value; the table must hold every value.
template <typename Enum, std::size_t Count>
constexpr std::string_view nameIn(const EnumNames<Enum, Count> &names, Enum value)
{
    for (const auto &[candidate, name] : names) {
        if (candidate == value) {
            return name;
        }
    }
    assert(false && "the name table lacks a value of its enumeration");
    return "unknown";
}

/// Returns the value with the given name, or nothing.
template <typename Enum, std::size_t Count>
constexpr std::optional<Enum> valueIn(const EnumNames<Enum, Count> &names, std::string_view wanted)
{
    for (const auto &[value, name] : names) {
        if (name == wanted) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace jasminequay
