#include "jasminequay/Packet/packetparser.h"

#include "jasminequay/Packet/checksum.h"
#include "packetlayout.h"

namespace jasminequay
{

using namespace layout;

static ParsedPacket dropped(DropCause cause)
{
    return {cause, {}};
}

static std::size_t headerSize(std::span<const std::uint8_t> header)
{
    return static_cast<std::size_t>(header[0] & 0x0fU) * 4;
}

static DropCause checkIpv4Header(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < Ipv4HeaderSize) {
        return DropCause::Truncated;
    }
    if (bytes[0] >> 4 != 4) {
        return DropCause::NotIpv4;
    }
    const std::size_t size = headerSize(bytes);
    if (size < Ipv4HeaderSize || loadWord(bytes, Ipv4TotalLength) != bytes.size() || size > bytes.size()) {
        return DropCause::BadLength;
    }
    if (foldChecksum(addWords(0, bytes.first(size))) != 0) {
        return DropCause::BadChecksum;
    }
    if ((loadWord(bytes, Ipv4Fragment) & Ipv4FragmentMask) != 0) {
        return DropCause::Fragmented;
    }
    // A packet that leaves with a time to live of zero would be dropped by the next router without a trace
    // here.
    return bytes[Ipv4TimeToLive] <= 1 ? DropCause::TimeToLiveOver : DropCause::None;
}

static Endpoint endpointAt(
    std::span<const std::uint8_t> bytes, std::size_t addressOffset, std::size_t portOffset)
{
    return {{loadLong(bytes, addressOffset)}, loadWord(bytes, portOffset)};
}

static void readEndpoints(PacketView &packet, std::size_t header, std::size_t transport)
{
    packet.source = endpointAt(packet.bytes, header + Ipv4Source, transport + SourcePort);
    packet.destination = endpointAt(packet.bytes, header + Ipv4Destination, transport + DestinationPort);
}

static DropCause parseTcp(PacketView &packet)
{
    const std::span<const std::uint8_t> segment = packet.bytes.subspan(packet.transportOffset);
    if (segment.size() < TcpHeaderSize) {
        return DropCause::Truncated;
    }
    const std::size_t size = static_cast<std::size_t>(segment[TcpDataOffset] >> 4) * 4;
    if (size < TcpHeaderSize || size > segment.size()) {
        return DropCause::BadLength;
    }
    const std::uint8_t bits = segment[TcpFlagBits];
    packet.protocol = Protocol::Tcp;
    packet.flags = {(bits & TcpSyn) != 0, (bits & TcpAck) != 0, (bits & TcpFin) != 0, (bits & TcpRst) != 0};
    readEndpoints(packet, 0, packet.transportOffset);
    return DropCause::None;
}

static DropCause parseUdp(PacketView &packet)
{
    const std::span<const std::uint8_t> datagram = packet.bytes.subspan(packet.transportOffset);
    if (datagram.size() < UdpHeaderSize) {
        return DropCause::Truncated;
    }
    if (loadWord(datagram, UdpLength) != datagram.size()) {
        return DropCause::BadLength;
    }
    packet.protocol = Protocol::Udp;
    readEndpoints(packet, 0, packet.transportOffset);
    return DropCause::None;
}

static DropCause parseIcmp(PacketView &packet)
{
    const std::span<const std::uint8_t> message = packet.bytes.subspan(packet.transportOffset);
    if (message.size() < IcmpHeaderSize + Ipv4HeaderSize + IcmpQuotedTransport) {
        return DropCause::Truncated;
    }
    if (message[0] != IcmpUnreachable && message[0] != IcmpTimeExceeded) {
        return DropCause::UnknownProtocol;
    }
    if (foldChecksum(addWords(0, message)) != 0) {
        return DropCause::BadChecksum;
    }
    const std::span<const std::uint8_t> quoted = message.subspan(IcmpHeaderSize);
    const std::size_t size = headerSize(quoted);
    if (quoted[0] >> 4 != 4 || size < Ipv4HeaderSize || quoted.size() < size + IcmpQuotedTransport) {
        return DropCause::ForeignQuote;
    }
    const std::uint8_t protocol = quoted[Ipv4Protocol];
    const bool isTransport = protocol == static_cast<std::uint8_t>(Protocol::Tcp)
        || protocol == static_cast<std::uint8_t>(Protocol::Udp);
    if (!isTransport || (loadWord(quoted, Ipv4Fragment) & Ipv4FragmentMask) != 0) {
        return DropCause::ForeignQuote;
    }
    packet.protocol = static_cast<Protocol>(protocol);
    packet.quotedOffset = static_cast<std::uint16_t>(packet.transportOffset + IcmpHeaderSize);
    readEndpoints(packet, packet.quotedOffset, packet.quotedOffset + size);
    return DropCause::None;
}

static DropCause parseTransport(PacketView &packet)
{
    switch (packet.bytes[Ipv4Protocol]) {
    case static_cast<std::uint8_t>(Protocol::Tcp):
        return parseTcp(packet);
    case static_cast<std::uint8_t>(Protocol::Udp):
        return parseUdp(packet);
    case IcmpProtocol:
        return parseIcmp(packet);
    default:
        return DropCause::UnknownProtocol;
    }
}

ParsedPacket parsePacket(std::span<std::uint8_t> bytes)
{
    if (const DropCause cause = checkIpv4Header(bytes); cause != DropCause::None) {
        return dropped(cause);
    }
    ParsedPacket parsed;
    parsed.packet.bytes = bytes;
    parsed.packet.transportOffset = static_cast<std::uint16_t>(headerSize(bytes));
    parsed.cause = parseTransport(parsed.packet);
    return parsed.cause == DropCause::None ? parsed : dropped(parsed.cause);
}

} // namespace jasminequay
