// What the decision logic sees of one packet: a parsed header over the bytes of a datagram.
#pragma once

#include "jasminequay/Packet/dropcause.h"
#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Packet/protocol.h"

#include <cstdint>
#include <span>

namespace jasminequay
{

/// The TCP flags that matter for the life of a flow.
struct TcpFlags {
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;

    /// Tells whether the segment opens a connection.
    [[nodiscard]] bool opens() const
    {
        return syn && !ack && !rst;
    }

    /// Tells whether the segment ends one direction or the whole connection.
    [[nodiscard]] bool closes() const
    {
        return fin || rst;
    }
};

/// A parsed IPv4 packet. The endpoints of an ICMP error are those of the packet that it quotes.
struct PacketView {
    std::span<std::uint8_t> bytes; ///< The whole IPv4 packet.
    Endpoint source;
    Endpoint destination;
    Protocol protocol = Protocol::Tcp;
    TcpFlags flags;
    std::uint16_t transportOffset = 0; ///< Where the TCP, UDP or ICMP header starts.
    std::uint16_t quotedOffset
        = 0; ///< Where the quoted IPv4 header starts; zero unless this is an ICMP error.

    /// Tells whether the packet may be the first of its flow; any datagram may.
    [[nodiscard]] bool mayOpenFlow() const
    {
        return protocol == Protocol::Udp || flags.opens();
    }

    /// Tells whether the packet is an ICMP error about a packet that went the other way.
    [[nodiscard]] bool isIcmpError() const
    {
        return quotedOffset != 0;
    }
};

/// A packet, or the cause for which it cannot be handled.
struct ParsedPacket {
    DropCause cause = DropCause::None;
    PacketView packet;
};

} // namespace jasminequay
