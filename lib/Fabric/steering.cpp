#include "jasminequay/Fabric/steering.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <vector>

namespace jasminequay
{

namespace
{

/// Where a packet holds the caller, in the IPv4 header and behind it.
struct CallerOffsets {
    std::uint32_t address;
    std::uint32_t port;
};

constexpr CallerOffsets AsSource{12, 0};
constexpr CallerOffsets AsDestination{16, 2};
constexpr std::uint32_t ProtocolOffset = 9;
constexpr std::uint32_t IcmpProtocol = 1;
constexpr std::uint32_t IcmpHeader = 8;
constexpr std::uint32_t QuotedTransport = IcmpHeader + 20; // behind a quoted header without options

} // namespace

static sock_filter statement(int code, std::uint32_t operand)
{
    return {static_cast<std::uint16_t>(code), 0, 0, operand};
}

/// Adds: load the port and the address, with the header's size in the index register, and return their sum's
/// thread.
static void addSum(
    std::vector<sock_filter> &program, sock_filter loadPort, sock_filter loadAddress, std::uint32_t threads)
{
    program.push_back(loadPort);
    program.push_back(statement(BPF_ST, 0));
    program.push_back(loadAddress);
    program.push_back(statement(BPF_LDX | BPF_W | BPF_MEM, 0));
    program.push_back(statement(BPF_ALU | BPF_ADD | BPF_X, 0));
    program.push_back(statement(BPF_ALU | BPF_MOD | BPF_K, threads));
    program.push_back(statement(BPF_RET | BPF_A, 0));
}

/// A program for IPv4 packets. An ICMP error is steered by the packet that it quotes, which went the other
/// way.
static std::vector<sock_filter> packetProgram(
    CallerOffsets direct, CallerOffsets quoted, std::uint32_t threads)
{
    constexpr std::uint8_t SumLength = 7;
    std::vector<sock_filter> program{
        statement(BPF_LDX | BPF_B | BPF_MSH, 0),
        statement(BPF_LD | BPF_B | BPF_ABS, ProtocolOffset),
        {BPF_JMP | BPF_JEQ | BPF_K, 0, SumLength, IcmpProtocol},
    };
    addSum(program, statement(BPF_LD | BPF_H | BPF_IND, QuotedTransport + quoted.port),
        statement(BPF_LD | BPF_W | BPF_IND, IcmpHeader + quoted.address), threads);
    addSum(program, statement(BPF_LD | BPF_H | BPF_IND, direct.port),
        statement(BPF_LD | BPF_W | BPF_ABS, direct.address), threads);
    return program;
}

static std::vector<sock_filter> programFor(SteeredTraffic traffic, std::uint32_t threads)
{
    switch (traffic) {
    case SteeredTraffic::FromCallers:
        return packetProgram(AsSource, AsDestination, threads);
    case SteeredTraffic::FromTargets:
        return packetProgram(AsDestination, AsSource, threads);
    case SteeredTraffic::FromPeers:
        break;
    }
    return {statement(BPF_LD | BPF_W | BPF_ABS, 0), statement(BPF_ALU | BPF_MOD | BPF_K, threads),
        statement(BPF_RET | BPF_A, 0)};
}

Result<void> steer(const UdpSocket &socket, SteeredTraffic traffic, std::uint32_t threads)
{
    std::vector<sock_filter> program = programFor(traffic, threads);
    const sock_fprog code{static_cast<unsigned short>(program.size()), program.data()};
    if (setsockopt(socket.descriptor(), SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &code, sizeof code) != 0) {
        return fail(Step::OpenFabric, {}, "the kernel refused the steering program: " + systemMessage());
    }
    return {};
}

} // namespace jasminequay
