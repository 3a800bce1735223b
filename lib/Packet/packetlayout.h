// Offsets and constants of the IPv4, TCP, UDP and ICMP headers, private to the Packet library.
#pragma once

#include <cstddef>
#include <cstdint>

namespace jasminequay::layout
{

constexpr std::size_t Ipv4HeaderSize = 20;
constexpr std::size_t Ipv4TotalLength = 2;
constexpr std::size_t Ipv4Fragment = 6;
constexpr std::size_t Ipv4TimeToLive = 8;
constexpr std::size_t Ipv4Protocol = 9;
constexpr std::size_t Ipv4Checksum = 10;
constexpr std::size_t Ipv4Source = 12;
constexpr std::size_t Ipv4Destination = 16;
constexpr std::uint16_t Ipv4FragmentMask = 0x3fff; // the offset and "more fragments"

constexpr std::size_t SourcePort = 0;
constexpr std::size_t DestinationPort = 2;

constexpr std::size_t TcpHeaderSize = 20;
constexpr std::size_t TcpSequence = 4;
constexpr std::size_t TcpAcknowledgement = 8;
constexpr std::size_t TcpDataOffset = 12;
constexpr std::size_t TcpFlagBits = 13;
constexpr std::size_t TcpChecksum = 16;
constexpr std::uint8_t TcpFin = 0x01;
constexpr std::uint8_t TcpSyn = 0x02;
constexpr std::uint8_t TcpRst = 0x04;
constexpr std::uint8_t TcpAck = 0x10;

constexpr std::size_t UdpHeaderSize = 8;
constexpr std::size_t UdpLength = 4;
constexpr std::size_t UdpChecksum = 6;

constexpr std::uint8_t IcmpProtocol = 1;
constexpr std::size_t IcmpHeaderSize = 8;
constexpr std::size_t IcmpChecksum = 2;
constexpr std::uint8_t IcmpUnreachable = 3;
constexpr std::uint8_t IcmpTimeExceeded = 11;
constexpr std::uint8_t IcmpProhibited = 13;
constexpr std::size_t IcmpQuotedTransport
    = 8; // an ICMP error quotes at least this much behind the IPv4 header

} // namespace jasminequay::layout
