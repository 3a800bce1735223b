#include "jasminequay/Packet/rewrite.h"

#include "jasminequay/Packet/checksum.h"
#include "packetlayout.h"

namespace jasminequay
{

using namespace layout;

namespace
{

/// The offsets of one end of a packet.
struct EndOffsets {
    std::size_t address;
    std::size_t port;
};

constexpr EndOffsets SourceEnd{Ipv4Source, SourcePort};
constexpr EndOffsets DestinationEnd{Ipv4Destination, DestinationPort};

} // namespace

static void updateWordAt(
    std::span<std::uint8_t> bytes, std::size_t checksumOffset, std::uint16_t before, std::uint16_t after)
{
    storeWord(bytes, checksumOffset, updateChecksum(loadWord(bytes, checksumOffset), before, after));
}

static void updateLongAt(
    std::span<std::uint8_t> bytes, std::size_t checksumOffset, std::uint32_t before, std::uint32_t after)
{
    storeWord(bytes, checksumOffset, updateChecksumLong(loadWord(bytes, checksumOffset), before, after));
}

static void rewriteTransport(PacketView &packet, EndOffsets end, Endpoint before, Endpoint after)
{
    const std::span<std::uint8_t> transport = packet.bytes.subspan(packet.transportOffset);
    storeWord(transport, end.port, after.port);
    const std::size_t checksumOffset = packet.protocol == Protocol::Tcp ? TcpChecksum : UdpChecksum;
    const bool hasNoChecksum = packet.protocol == Protocol::Udp && loadWord(transport, checksumOffset) == 0;
    if (hasNoChecksum) {
        return;
    }
    updateLongAt(transport, checksumOffset, before.address.value, after.address.value);
    updateWordAt(transport, checksumOffset, before.port, after.port);
    // Zero means "no checksum" in UDP, so a sum of zero is sent as its other form.
    if (packet.protocol == Protocol::Udp && loadWord(transport, checksumOffset) == 0) {
        storeWord(transport, checksumOffset, 0xffff);
    }
}

static void rewriteAddress(PacketView &packet, std::size_t offset, Ipv4Address after)
{
    const std::uint32_t before = loadLong(packet.bytes, offset);
    storeLong(packet.bytes, offset, after.value);
    updateLongAt(packet.bytes, Ipv4Checksum, before, after.value);
}

/// Rewrites one end of the quoted packet and corrects the quoted header's and the ICMP checksum.
static void rewriteQuoted(PacketView &packet, EndOffsets end, Endpoint before, Endpoint after)
{
    const std::span<std::uint8_t> quoted = packet.bytes.subspan(packet.quotedOffset);
    const std::span<std::uint8_t> icmp = packet.bytes.subspan(packet.transportOffset);
    const std::size_t transport = static_cast<std::size_t>(quoted[0] & 0x0fU) * 4;
    const std::uint16_t quotedBefore = loadWord(quoted, Ipv4Checksum);
    storeLong(quoted, end.address, after.address.value);
    updateLongAt(quoted, Ipv4Checksum, before.address.value, after.address.value);
    storeWord(quoted, transport + end.port, after.port);
    updateLongAt(icmp, IcmpChecksum, before.address.value, after.address.value);
    updateWordAt(icmp, IcmpChecksum, quotedBefore, loadWord(quoted, Ipv4Checksum));
    updateWordAt(icmp, IcmpChecksum, before.port, after.port);
}

void rewriteDestination(PacketView &packet, Endpoint destination)
{
    if (packet.isIcmpError()) {
        rewriteQuoted(packet, SourceEnd, packet.source, destination);
        rewriteAddress(packet, Ipv4Destination, destination.address);
        packet.source = destination;
        return;
    }
    rewriteTransport(packet, DestinationEnd, packet.destination, destination);
    rewriteAddress(packet, Ipv4Destination, destination.address);
    packet.destination = destination;
}

void rewriteSource(PacketView &packet, Endpoint source)
{
    if (packet.isIcmpError()) {
        rewriteQuoted(packet, DestinationEnd, packet.destination, source);
        rewriteAddress(packet, Ipv4Source, source.address);
        packet.destination = source;
        return;
    }
    rewriteTransport(packet, SourceEnd, packet.source, source);
    rewriteAddress(packet, Ipv4Source, source.address);
    packet.source = source;
}

void decrementTimeToLive(PacketView &packet)
{
    const std::uint16_t before = loadWord(packet.bytes, Ipv4TimeToLive);
    const std::uint16_t after = static_cast<std::uint16_t>(before - 0x100);
    storeWord(packet.bytes, Ipv4TimeToLive, after);
    updateWordAt(packet.bytes, Ipv4Checksum, before, after);
}

} // namespace jasminequay
