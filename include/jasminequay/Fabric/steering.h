// Steering of datagrams to traffic threads in the kernel, so that one thread sees all packets of a flow and
// no packet is passed between threads.
#pragma once

#include "jasminequay/Fabric/udpsocket.h"
#include "jasminequay/Packet/endpoint.h"

#include <cstdint>

namespace jasminequay
{

/// What the datagrams of a socket hold.
enum class SteeredTraffic : std::uint8_t {
    FromCallers, ///< An IPv4 packet whose source is the caller.
    FromTargets, ///< An IPv4 packet whose destination is the caller.
    FromPeers, ///< A data message whose first word is the steering value.
};

/// Returns the value that packets of a caller are steered by.
constexpr std::uint32_t steeringOf(Endpoint caller)
{
    return caller.address.value + caller.port;
}

/// Makes the kernel hand each datagram to the socket, in the order of binding, that its caller's steering
/// value names.
Result<void> steer(const UdpSocket &socket, SteeredTraffic traffic, std::uint32_t threads);

} // namespace jasminequay
