// An IPv4 address as a value.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminequay
{

/// An IPv4 address in host byte order.
struct Ipv4Address {
    std::uint32_t value = 0;

    auto operator<=>(const Ipv4Address &) const = default;
};

/// Parses dotted decimal; nothing for any other text.
std::optional<Ipv4Address> parseIpv4Address(std::string_view text);

/// Prints dotted decimal.
std::string format(Ipv4Address address);

} // namespace jasminequay
