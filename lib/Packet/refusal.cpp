#include "jasminequay/Packet/refusal.h"

#include "jasminequay/Packet/checksum.h"
#include "packetlayout.h"

#include <algorithm>

namespace jasminequay
{

using namespace layout;

constexpr std::uint8_t RefusalTimeToLive = 64;

static void writeIpv4Header(
    std::span<std::uint8_t> bytes, std::uint8_t protocol, Ipv4Address source, Ipv4Address destination)
{
    std::fill_n(bytes.begin(), Ipv4HeaderSize, std::uint8_t{0});
    bytes[0] = 0x45;
    storeWord(bytes, Ipv4TotalLength, static_cast<std::uint16_t>(bytes.size()));
    bytes[Ipv4TimeToLive] = RefusalTimeToLive;
    bytes[Ipv4Protocol] = protocol;
    storeLong(bytes, Ipv4Source, source.value);
    storeLong(bytes, Ipv4Destination, destination.value);
    storeWord(bytes, Ipv4Checksum, foldChecksum(addWords(0, bytes.first(Ipv4HeaderSize))));
}

static std::size_t buildReset(const PacketView &packet, std::span<std::uint8_t> buffer)
{
    const std::span<std::uint8_t> bytes = buffer.first(Ipv4HeaderSize + TcpHeaderSize);
    const std::span<std::uint8_t> tcp = bytes.subspan(Ipv4HeaderSize);
    std::fill(tcp.begin(), tcp.end(), std::uint8_t{0});
    const std::uint32_t sequence = loadLong(packet.bytes, packet.transportOffset + TcpSequence);
    storeWord(tcp, SourcePort, packet.destination.port);
    storeWord(tcp, DestinationPort, packet.source.port);
    storeLong(tcp, TcpAcknowledgement, sequence + 1);
    tcp[TcpDataOffset] = 0x50;
    tcp[TcpFlagBits] = TcpRst | TcpAck;
    writeIpv4Header(
        bytes, static_cast<std::uint8_t>(Protocol::Tcp), packet.destination.address, packet.source.address);
    std::uint32_t sum = addWords(0, bytes.subspan(Ipv4Source, 8));
    sum += static_cast<std::uint32_t>(Protocol::Tcp) + TcpHeaderSize;
    storeWord(tcp, TcpChecksum, foldChecksum(addWords(sum, tcp)));
    return bytes.size();
}

static std::size_t buildProhibited(const PacketView &packet, std::span<std::uint8_t> buffer)
{
    const std::size_t quotedSize = packet.transportOffset + IcmpQuotedTransport;
    const std::span<std::uint8_t> bytes = buffer.first(Ipv4HeaderSize + IcmpHeaderSize + quotedSize);
    const std::span<std::uint8_t> icmp = bytes.subspan(Ipv4HeaderSize);
    std::fill(icmp.begin(), icmp.end(), std::uint8_t{0});
    icmp[0] = IcmpUnreachable;
    icmp[1] = IcmpProhibited;
    std::copy_n(packet.bytes.begin(), quotedSize, icmp.begin() + IcmpHeaderSize);
    storeWord(icmp, IcmpChecksum, foldChecksum(addWords(0, icmp)));
    writeIpv4Header(bytes, IcmpProtocol, packet.destination.address, packet.source.address);
    return bytes.size();
}

std::size_t buildRefusal(const PacketView &packet, std::span<std::uint8_t, MaximumRefusalSize> buffer)
{
    if (packet.isIcmpError()) {
        return 0;
    }
    if (packet.protocol == Protocol::Udp) {
        return buildProhibited(packet, buffer);
    }
    return packet.flags.opens() ? buildReset(packet, buffer) : 0;
}

} // namespace jasminequay
