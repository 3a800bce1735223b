#include "jasminequay/Packet/ipv4address.h"

#include <arpa/inet.h>

namespace jasminequay
{

std::optional<Ipv4Address> parseIpv4Address(std::string_view text)
{
    in_addr address{};
    if (inet_pton(AF_INET, std::string(text).c_str(), &address) != 1) {
        return std::nullopt;
    }
    return Ipv4Address{ntohl(address.s_addr)};
}

std::string format(Ipv4Address address)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        text += std::to_string((address.value >> shift) & 0xffU);
        text += shift > 0 ? "." : "";
    }
    return text;
}

} // namespace jasminequay
