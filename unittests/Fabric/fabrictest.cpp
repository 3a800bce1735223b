#include "packetfactory.h"

#include "jasminequay/Fabric/datagrambatch.h"
#include "jasminequay/Fabric/datagramsender.h"
#include "jasminequay/Fabric/steering.h"

#include <gtest/gtest.h>
#include <poll.h>

namespace jasminequay
{

using standin::Bytes;

constexpr Ipv4Address Loopback{0x7f000001};
constexpr std::uint32_t Threads = 3;

static Endpoint callerNumber(std::uint32_t number)
{
    return {{0x0a090000 + number * 7}, static_cast<std::uint16_t>(1000 + number)};
}

/// Sends packets to sockets that share an address; returns the datagrams that each got.
static std::vector<std::vector<Bytes>> deliver(
    Endpoint address, SteeredTraffic traffic, const std::vector<Bytes> &packets)
{
    std::vector<UdpSocket> sockets;
    for (std::uint32_t thread = 0; thread < Threads; ++thread) {
        sockets.push_back(UdpSocket::bindShared(address).value());
    }
    EXPECT_TRUE(steer(sockets.front(), traffic, Threads));
    const UdpSocket out = UdpSocket::connectTo(address).value();
    DatagramSender sender;
    for (const Bytes &packet : packets) {
        sender.queue(packet);
    }
    EXPECT_EQ(sender.flush(out), 0U);
    std::vector<std::vector<Bytes>> received(Threads);
    DatagramBatch batch;
    for (std::size_t thread = 0; thread < Threads; ++thread) {
        for (std::size_t count = batch.receive(sockets[thread]); count > 0;
             count = batch.receive(sockets[thread])) {
            for (std::size_t index = 0; index < count; ++index) {
                received[thread].emplace_back(batch.datagram(index).begin(), batch.datagram(index).end());
            }
        }
    }
    return received;
}

/// Both directions of a flow, and what peers say of it, reach the same traffic thread.
TEST(Steering, AllPacketsOfACallerReachOneThread)
{
    const Endpoint service{{0x0a010001}, 443};
    std::vector<Bytes> fromCallers;
    std::vector<Bytes> fromTargets;
    for (std::uint32_t number = 0; number < 20; ++number) {
        fromCallers.push_back(standin::makeTcp({callerNumber(number), service, 1, 1, {}, {}}));
        fromTargets.push_back(standin::makeUdp(service, callerNumber(number), Bytes(3, 1)));
    }
    const auto up = deliver({Loopback, 17821}, SteeredTraffic::FromCallers, fromCallers);
    const auto down = deliver({Loopback, 17822}, SteeredTraffic::FromTargets, fromTargets);
    std::size_t seen = 0;
    for (std::uint32_t thread = 0; thread < Threads; ++thread) {
        std::vector<Bytes> expectedUp;
        std::vector<Bytes> expectedDown;
        for (std::uint32_t number = 0; number < 20; ++number) {
            if (steeringOf(callerNumber(number)) % Threads == thread) {
                expectedUp.push_back(fromCallers[number]);
                expectedDown.push_back(fromTargets[number]);
            }
        }
        EXPECT_EQ(up[thread], expectedUp);
        EXPECT_EQ(down[thread], expectedDown);
        seen += up[thread].size();
    }
    EXPECT_EQ(seen, 20U);
}

TEST(DatagramBatch, ADatagramLargerThanABufferIsEmpty)
{
    const Endpoint address{Loopback, 17823};
    const UdpSocket in = UdpSocket::bindShared(address).value();
    const UdpSocket out = UdpSocket::connectTo(address).value();
    DatagramSender sender;
    const Bytes large(MaximumDatagram + 1);
    const Bytes fitting(MaximumDatagram);
    sender.queue(large);
    sender.queue(fitting);
    sender.flush(out);
    DatagramBatch batch;
    ASSERT_EQ(batch.receive(in), 2U);
    EXPECT_TRUE(batch.datagram(0).empty());
    EXPECT_EQ(batch.datagram(1).size(), MaximumDatagram);
}

TEST(UdpSocket, AnAddressOfAnotherMachineIsNamed)
{
    const std::string reason = withFailure(
        []() -> Result<std::string> {
            BOOST_LEAF_CHECK(UdpSocket::bindShared({{0xc0000201}, 1234}));
            return std::string();
        },
        [](const Failure &failure) { return describe(failure); });
    EXPECT_EQ(reason, "open-fabric 192.0.2.1:1234: Cannot assign requested address");
}

} // namespace jasminequay
