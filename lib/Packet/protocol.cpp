#include "jasminequay/Packet/protocol.h"

#include "jasminequay/Support/enumnames.h"

namespace jasminequay
{

static constexpr EnumNames<Protocol, 2> ProtocolNames{{{Protocol::Tcp, "tcp"}, {Protocol::Udp, "udp"}}};

std::string_view protocolName(Protocol protocol)
{
    return nameIn(ProtocolNames, protocol);
}

std::optional<Protocol> protocolNamed(std::string_view name)
{
    return valueIn(ProtocolNames, name);
}

} // namespace jasminequay
