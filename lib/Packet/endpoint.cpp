#include "jasminequay/Packet/endpoint.h"

#include "jasminequay/Support/units.h"

namespace jasminequay
{

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::optional<Ipv4Address> address = parseIpv4Address(text.substr(0, colon));
    const std::optional<std::uint64_t> port = parseNumber(text.substr(colon + 1));
    if (!address || !port || *port == 0 || *port > 0xffff) {
        return std::nullopt;
    }
    return Endpoint{*address, static_cast<std::uint16_t>(*port)};
}

std::string format(Endpoint endpoint)
{
    return format(endpoint.address) + ":" + std::to_string(endpoint.port);
}

} // namespace jasminequay
