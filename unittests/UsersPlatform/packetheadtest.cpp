#include "platform/attachment.h"

#include "jasminequay/Steering/steeringengine.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace jasminequay::platform
{

/// The opening packet of the example in the platform's protocol description: from 100.64.0.7:40001 to
/// 198.18.0.1:443.
static const std::vector<std::uint8_t> ExampleOpening{0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x80, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5, 0x01, 0xbb,
    0x9c, 0x41, 0x64, 0x40, 0x00, 0x07, 0xc6, 0x12, 0x00, 0x01};

/// The reset of the same example, from the route to the caller.
static const std::vector<std::uint8_t> ExampleReset{0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x08, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x9c, 0x41,
    0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01, 0x64, 0x40, 0x00, 0x07};

TEST(PacketHeader, ParsesTheExampleOpening)
{
    const std::optional<PacketHeader> header = PacketHeader::parse(ExampleOpening);
    ASSERT_TRUE(header);
    EXPECT_EQ(format(header->flow().caller), "100.64.0.7:40001");
    EXPECT_EQ(format(header->flow().service), "198.18.0.1:443");
    EXPECT_TRUE(header->isOpening());
    EXPECT_EQ(header->openingCopy(), 0U);
    EXPECT_EQ(header->sequence(), 0x11223344U);
    EXPECT_EQ(header->token(), NoToken);
    EXPECT_EQ(header->dataSize(), 0U);
    EXPECT_FALSE(header->isEnd());
    EXPECT_FALSE(header->isReset());
}

TEST(PacketHeader, WritesTheExampleReset)
{
    const SteeredFlow flow = PacketHeader::parse(ExampleOpening)->flow();
    const auto reset = PacketHeader::makeReset(flow, 0);
    EXPECT_EQ(std::vector<std::uint8_t>(reset.begin(), reset.end()), ExampleReset);
    const auto open = PacketHeader::makeReset(flow, 0x01020304);
    EXPECT_EQ(open[12], 1);
    EXPECT_EQ(open[15], 4);
}

TEST(PacketHeader, OnlyOpeningPacketsCountCopies)
{
    std::vector<std::uint8_t> packet = ExampleOpening;
    packet[19] = 2;
    EXPECT_EQ(PacketHeader::parse(packet)->openingCopy(), 2U);
    EXPECT_EQ(PacketHeader::parse(packet)->acknowledged(), 0U);
    packet[6] = 4;
    EXPECT_EQ(PacketHeader::parse(packet)->openingCopy(), 0U);
    EXPECT_EQ(PacketHeader::parse(packet)->acknowledged(), 2U);
}

TEST(PacketHeader, ForwardingAddsOnlyTargetIdAndToken)
{
    std::vector<std::uint8_t> datagram(TargetIdSize);
    datagram.insert(datagram.end(), ExampleOpening.begin(), ExampleOpening.end());
    Adapter::writeForward(datagram, 0x7f3a91c2, 0xdeadbeef);
    const std::vector<std::uint8_t> id(datagram.begin(), datagram.begin() + TargetIdSize);
    EXPECT_EQ(id, (std::vector<std::uint8_t>{0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2}));
    std::vector<std::uint8_t> packet(datagram.begin() + TargetIdSize, datagram.end());
    EXPECT_EQ(PacketHeader::parse(packet)->token(), 0xdeadbeefU);
    std::fill_n(packet.begin() + 2, 4, 0);
    EXPECT_EQ(packet, ExampleOpening);
}

TEST(PacketHeader, RejectsWhatIsNotAPacketOfACaller)
{
    EXPECT_FALSE(PacketHeader::parse({}));
    EXPECT_FALSE(PacketHeader::parse(std::span(ExampleOpening).first(35)));
    std::vector<std::uint8_t> longer = ExampleOpening;
    longer.push_back(0);
    EXPECT_FALSE(PacketHeader::parse(longer)) << "the size is not what the header states";
    std::vector<std::uint8_t> answer = ExampleOpening;
    answer[6] = 128 | 4;
    EXPECT_FALSE(PacketHeader::parse(answer)) << "the answer to an opening packet comes from a target";
    std::vector<std::uint8_t> unknown = ExampleOpening;
    unknown[6] = 64;
    EXPECT_FALSE(PacketHeader::parse(unknown));
}

/// Guards against crashes and invalid decisions on malformed input: random changes of an opening packet are
/// parsed and decided; a forwarded packet must name a target, and the flow memory must stay within its
/// capacity.
TEST(PacketHeader, MutatedHeadersNeverCrashTheEngine)
{
    std::mt19937_64 random(20261204);
    SteeringEngine engine({"dc", 256, std::chrono::seconds(60), std::chrono::seconds(2), {}, {}, {}});
    RouteConfiguration routes;
    routes.version = 1;
    routes.routes.push_back({"r", {{0xc6120001}, 443}, RequestKind::Idempotent, {}, {{"desk", 1}}, {}, 0});
    engine.replaceRoutes(routes, TimePoint(std::chrono::hours(1)));
    for (std::uint64_t id = 1; id < 20; ++id) {
        TargetRecord record;
        record.name = std::to_string(id);
        record.identity = {id, 1};
        record.address = {{static_cast<std::uint32_t>(id)}, 80};
        record.service = "desk";
        engine.targets().put(record, TimePoint(std::chrono::hours(1)));
    }
    std::size_t parsed = 0;
    for (int round = 0; round < 50000; ++round) {
        std::vector<std::uint8_t> packet = ExampleOpening;
        for (std::uint64_t change = random() % 5; change > 0; --change) {
            packet[random() % packet.size()] = static_cast<std::uint8_t>(random());
        }
        packet.resize(random() % 8 == 0 ? random() % 1400 : packet.size());
        if (const std::optional<PacketHeader> header = PacketHeader::parse(packet)) {
            ++parsed;
            const TimePoint now = TimePoint(std::chrono::hours(1)) + round * std::chrono::milliseconds(1);
            engine.markCurrentAt(now);
            const SteeringDecision decision = engine.decide(*header, now);
            EXPECT_TRUE(decision.action != SteeringAction::Forward || decision.targetId != 0);
        }
    }
    EXPECT_GT(parsed, 10000U);
    EXPECT_LE(engine.flows().size(), 256U);
}

} // namespace jasminequay::platform
