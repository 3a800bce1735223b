#include "platform/attachment.h"

#include "jasminequay/Steering/steeringengine.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace jasminequay::platform
{

/// The opening packet of the platform's protocol page: from 100.64.0.7:40001 to 198.18.0.1:443.
static const std::vector<std::uint8_t> KnownOpening{0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x80, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5, 0x01, 0xbb,
    0x9c, 0x41, 0x64, 0x40, 0x00, 0x07, 0xc6, 0x12, 0x00, 0x01};

/// The reset of that page, from the route to the caller.
static const std::vector<std::uint8_t> KnownReset{0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x08, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x9c, 0x41, 0x01,
    0xbb, 0xc6, 0x12, 0x00, 0x01, 0x64, 0x40, 0x00, 0x07};

TEST(PacketHead, ReadsTheKnownOpening)
{
    const std::optional<PacketHead> head = PacketHead::parse(KnownOpening);
    ASSERT_TRUE(head);
    EXPECT_EQ(format(head->flow().caller), "100.64.0.7:40001");
    EXPECT_EQ(format(head->flow().service), "198.18.0.1:443");
    EXPECT_TRUE(head->isOpening());
    EXPECT_EQ(head->openingCopy(), 0U);
    EXPECT_EQ(head->sequence(), 0x11223344U);
    EXPECT_EQ(head->token(), NoToken);
    EXPECT_EQ(head->dataSize(), 0U);
    EXPECT_FALSE(head->isEnd());
    EXPECT_FALSE(head->isReset());
}

TEST(PacketHead, WritesTheKnownReset)
{
    const SteeredFlow flow = PacketHead::parse(KnownOpening)->flow();
    const auto reset = PacketHead::makeReset(flow, 0);
    EXPECT_EQ(std::vector<std::uint8_t>(reset.begin(), reset.end()), KnownReset);
    const auto open = PacketHead::makeReset(flow, 0x01020304);
    EXPECT_EQ(open[12], 1);
    EXPECT_EQ(open[15], 4);
}

TEST(PacketHead, CountsCopiesOfOpeningsOnly)
{
    std::vector<std::uint8_t> packet = KnownOpening;
    packet[19] = 2;
    EXPECT_EQ(PacketHead::parse(packet)->openingCopy(), 2U);
    EXPECT_EQ(PacketHead::parse(packet)->acknowledged(), 0U);
    packet[6] = 4;
    EXPECT_EQ(PacketHead::parse(packet)->openingCopy(), 0U);
    EXPECT_EQ(PacketHead::parse(packet)->acknowledged(), 2U);
}

TEST(PacketHead, AForwardedPacketCarriesTargetAndTokenAndNothingElseChanges)
{
    std::vector<std::uint8_t> whole(TargetIdSize);
    whole.insert(whole.end(), KnownOpening.begin(), KnownOpening.end());
    Adapter::writeForward(whole, 0x7f3a91c2, 0xdeadbeef);
    const std::vector<std::uint8_t> id(whole.begin(), whole.begin() + TargetIdSize);
    EXPECT_EQ(id, (std::vector<std::uint8_t>{0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2}));
    std::vector<std::uint8_t> packet(whole.begin() + TargetIdSize, whole.end());
    EXPECT_EQ(PacketHead::parse(packet)->token(), 0xdeadbeefU);
    std::fill_n(packet.begin() + 2, 4, 0);
    EXPECT_EQ(packet, KnownOpening);
}

TEST(PacketHead, WhatIsNoPacketOfACallerIsRefused)
{
    EXPECT_FALSE(PacketHead::parse({}));
    EXPECT_FALSE(PacketHead::parse(std::span(KnownOpening).first(35)));
    std::vector<std::uint8_t> longer = KnownOpening;
    longer.push_back(0);
    EXPECT_FALSE(PacketHead::parse(longer)) << "the size is not what the head says";
    std::vector<std::uint8_t> answer = KnownOpening;
    answer[6] = 128 | 4;
    EXPECT_FALSE(PacketHead::parse(answer)) << "the answer to an opening packet is a target's";
    std::vector<std::uint8_t> unknown = KnownOpening;
    unknown[6] = 64;
    EXPECT_FALSE(PacketHead::parse(unknown));
}

TEST(PacketHead, MutatedHeadsNeverCrashAnEngine)
{
    std::mt19937_64 random(20261204);
    SteeringEngine engine({"dc", 256, std::chrono::seconds(60), std::chrono::seconds(2), {}, {}});
    RouteConfiguration routes;
    routes.version = 1;
    routes.routes.push_back({"r", {{0xc6120001}, 443}, RequestKind::Idempotent, {}, {{"desk", 1}}, {}, 0});
    engine.routes().adopt(routes);
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
        std::vector<std::uint8_t> packet = KnownOpening;
        for (std::uint64_t change = random() % 5; change > 0; --change) {
            packet[random() % packet.size()] = static_cast<std::uint8_t>(random());
        }
        packet.resize(random() % 8 == 0 ? random() % 1400 : packet.size());
        if (const std::optional<PacketHead> head = PacketHead::parse(packet)) {
            ++parsed;
            const TimePoint now = TimePoint(std::chrono::hours(1)) + round * std::chrono::milliseconds(1);
            engine.noteCurrent(now);
            const SteeringDecision decision = engine.decide(*head, now);
            EXPECT_TRUE(decision.action != SteeringAction::Forward || decision.targetId != 0);
        }
    }
    EXPECT_GT(parsed, 10000U);
    EXPECT_LE(engine.flows().size(), 256U);
}

} // namespace jasminequay::platform
