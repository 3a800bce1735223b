#include "packetfactory.h"

#include "jasminequay/Packet/checksum.h"

#include <algorithm>

namespace jasminequay::standin
{

constexpr std::size_t Ipv4Size = 20;
constexpr std::size_t TcpSize = 20;
constexpr std::size_t UdpSize = 8;

static Bytes makeIpv4(Endpoint source, Endpoint destination, Protocol protocol, std::size_t size)
{
    Bytes bytes(Ipv4Size + size);
    bytes[0] = 0x45;
    storeWord(bytes, 2, static_cast<std::uint16_t>(bytes.size()));
    bytes[8] = 64;
    bytes[9] = static_cast<std::uint8_t>(protocol);
    storeLong(bytes, 12, source.address.value);
    storeLong(bytes, 16, destination.address.value);
    storeWord(bytes, 10, foldChecksum(addWords(0, std::span(bytes).first(Ipv4Size))));
    storeWord(bytes, Ipv4Size, source.port);
    storeWord(bytes, Ipv4Size + 2, destination.port);
    return bytes;
}

static std::uint16_t transportChecksum(std::span<const std::uint8_t> bytes)
{
    const std::span<const std::uint8_t> transport = bytes.subspan(Ipv4Size);
    const std::uint32_t sum
        = addWords(0, bytes.subspan(12, 8)) + bytes[9] + static_cast<std::uint32_t>(transport.size());
    return foldChecksum(addWords(sum, transport));
}

Bytes makeTcp(const Segment &segment)
{
    Bytes bytes
        = makeIpv4(segment.source, segment.destination, Protocol::Tcp, TcpSize + segment.payload.size());
    const std::span<std::uint8_t> tcp = std::span(bytes).subspan(Ipv4Size);
    storeLong(tcp, 4, segment.sequence);
    storeLong(tcp, 8, segment.acknowledgement);
    tcp[12] = 0x50;
    tcp[13] = static_cast<std::uint8_t>((segment.flags.fin ? 1 : 0) | (segment.flags.syn ? 2 : 0)
        | (segment.flags.rst ? 4 : 0) | (segment.flags.ack ? 16 : 0));
    storeWord(tcp, 14, 0xffff);
    std::copy(segment.payload.begin(), segment.payload.end(), tcp.begin() + TcpSize);
    storeWord(tcp, 16, transportChecksum(bytes));
    return bytes;
}

Bytes makeUdp(Endpoint source, Endpoint destination, std::span<const std::uint8_t> payload)
{
    Bytes bytes = makeIpv4(source, destination, Protocol::Udp, UdpSize + payload.size());
    const std::span<std::uint8_t> udp = std::span(bytes).subspan(Ipv4Size);
    storeWord(udp, 4, static_cast<std::uint16_t>(udp.size()));
    std::copy(payload.begin(), payload.end(), udp.begin() + UdpSize);
    const std::uint16_t checksum = transportChecksum(bytes);
    storeWord(udp, 6, checksum == 0 ? 0xffff : checksum);
    return bytes;
}

Segment readTcp(const PacketView &packet)
{
    const std::span<const std::uint8_t> tcp = packet.bytes.subspan(packet.transportOffset);
    const std::size_t header = static_cast<std::size_t>(tcp[12] >> 4) * 4;
    return {packet.source, packet.destination, loadLong(tcp, 4), loadLong(tcp, 8), packet.flags,
        tcp.subspan(header)};
}

std::span<const std::uint8_t> udpPayload(const PacketView &packet)
{
    return packet.bytes.subspan(packet.transportOffset + UdpSize);
}

bool hasValidChecksum(const PacketView &packet)
{
    return transportChecksum(packet.bytes) == 0;
}

} // namespace jasminequay::standin
