#include "packetfactory.h"

#include "jasminequay/Packet/checksum.h"
#include "jasminequay/Packet/packetparser.h"
#include "jasminequay/Packet/refusal.h"
#include "jasminequay/Packet/rewrite.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jasminequay
{

using standin::Bytes;

constexpr Endpoint Caller{{0x0a090001}, 4000};
constexpr Endpoint Service{{0x0a010001}, 443};
constexpr Endpoint Target{{0x0a020001}, 8443};

static Bytes tcpPacket(std::uint8_t seed = 1, std::size_t size = 10, TcpFlags flags = {})
{
    const Bytes payload(size, seed);
    return standin::makeTcp({Caller, Service, 1000, 2000, flags, payload});
}

/// Wraps a packet into an ICMP "fragmentation needed" from a router to the packet's source.
static Bytes icmpAbout(const Bytes &quoted)
{
    Bytes bytes(28 + 28);
    bytes[0] = 0x45;
    bytes[3] = static_cast<std::uint8_t>(bytes.size());
    bytes[8] = 64;
    bytes[9] = 1;
    std::copy_n(std::initializer_list<std::uint8_t>{10, 0, 0, 9}.begin(), 4, bytes.begin() + 12);
    std::copy_n(quoted.begin() + 12, 4, bytes.begin() + 16);
    bytes[20] = 3;
    bytes[21] = 4;
    std::copy_n(quoted.begin(), 28, bytes.begin() + 28);
    const std::span<std::uint8_t> all(bytes);
    storeWord(all, 22, foldChecksum(addWords(0, all.subspan(20))));
    storeWord(all, 10, foldChecksum(addWords(0, all.first(20))));
    return bytes;
}

TEST(Parser, ReadsEndpointsAndFlags)
{
    Bytes bytes = tcpPacket(1, 10, {true, false, false, false});
    const ParsedPacket parsed = parsePacket(bytes);
    ASSERT_EQ(parsed.cause, DropCause::None);
    EXPECT_EQ(parsed.packet.source, Caller);
    EXPECT_EQ(parsed.packet.destination, Service);
    EXPECT_TRUE(parsed.packet.flags.opens());
}

/// Each defect has its own cause, so that operators see what arrives.
TEST(Parser, NamesTheCauseOfEachDefect)
{
    struct Defect {
        const char *name;
        void (*damage)(Bytes &bytes);
        DropCause cause;
    };
    const auto repair = [](Bytes &bytes) {
        storeWord(bytes, 10, 0);
        storeWord(bytes, 10, foldChecksum(addWords(0, std::span(bytes).first(20))));
    };
    const Defect defects[] = {
        {"empty", [](Bytes &bytes) { bytes.clear(); }, DropCause::Truncated},
        {"version 6", [](Bytes &bytes) { bytes[0] = 0x65; }, DropCause::NotIpv4},
        {"cut short", [](Bytes &bytes) { bytes.pop_back(); }, DropCause::BadLength},
        {"header too small", [](Bytes &bytes) { bytes[0] = 0x44; }, DropCause::BadLength},
        {"checksum", [](Bytes &bytes) { bytes[10] ^= 1; }, DropCause::BadChecksum},
        {"fragment", [](Bytes &bytes) { bytes[6] = 0x20; }, DropCause::Fragmented},
        {"time to live", [](Bytes &bytes) { bytes[8] = 1; }, DropCause::TimeToLiveOver},
        {"protocol", [](Bytes &bytes) { bytes[9] = 47; }, DropCause::UnknownProtocol},
        {"data offset", [](Bytes &bytes) { bytes[32] = 0xf0; }, DropCause::BadLength},
    };
    for (const Defect &defect : defects) {
        Bytes bytes = tcpPacket();
        defect.damage(bytes);
        if (bytes.size() >= 20 && defect.cause != DropCause::BadChecksum) {
            repair(bytes);
        }
        EXPECT_EQ(parsePacket(bytes).cause, defect.cause) << defect.name;
    }
}

RC_GTEST_PROP(Parser, MutatedPacketsNeverLeadOutsideTheirBytes, ())
{
    Bytes bytes = *rc::gen::element(
        tcpPacket(), icmpAbout(tcpPacket()), standin::makeUdp(Caller, Service, Bytes(9, 7)));
    const auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, std::uint8_t>>>(
        rc::gen::pair(rc::gen::inRange<std::size_t>(0, bytes.size()), rc::gen::arbitrary<std::uint8_t>()));
    for (const auto &[place, value] : changes) {
        bytes[place] = value;
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    ParsedPacket parsed = parsePacket(bytes);
    if (parsed.cause != DropCause::None) {
        return;
    }
    rewriteDestination(parsed.packet, Target);
    rewriteSource(parsed.packet, Service);
    std::array<std::uint8_t, MaximumRefusalSize> refusal{};
    RC_ASSERT(buildRefusal(parsed.packet, refusal) <= refusal.size());
}

RC_GTEST_PROP(Parser, RandomBytesAreSafe, (const Bytes &input))
{
    Bytes bytes = input;
    static_cast<void>(parsePacket(bytes));
}

RC_GTEST_PROP(Rewrite, IncrementalChecksumsEqualThoseComputedWhole,
    (std::uint8_t seed, std::uint32_t address, std::uint16_t port))
{
    const std::size_t size = *rc::gen::inRange<std::size_t>(0, 64);
    for (const bool isTcp : {true, false}) {
        Bytes bytes = isTcp ? tcpPacket(seed, size) : standin::makeUdp(Caller, Service, Bytes(size, seed));
        PacketView packet = parsePacket(bytes).packet;
        rewriteDestination(packet, {{address}, port});
        rewriteSource(packet, {{~address}, static_cast<std::uint16_t>(~port)});
        decrementTimeToLive(packet);
        const ParsedPacket again = parsePacket(bytes);
        RC_ASSERT(again.cause == DropCause::None);
        RC_ASSERT(standin::hasValidChecksum(again.packet));
        RC_ASSERT(again.packet.destination == (Endpoint{{address}, port}));
    }
}

TEST(Rewrite, UdpWithoutChecksumStaysWithout)
{
    Bytes bytes = standin::makeUdp(Caller, Service, Bytes(4, 1));
    storeWord(bytes, 26, 0);
    PacketView packet = parsePacket(bytes).packet;
    rewriteDestination(packet, Target);
    EXPECT_EQ(loadWord(bytes, 26), 0);
}

TEST(Rewrite, IcmpErrorFollowsTheQuotedFlowBothWays)
{
    // A router on the way to the target answers a packet that went from the caller to the target.
    Bytes toTarget = tcpPacket();
    PacketView sent = parsePacket(toTarget).packet;
    rewriteDestination(sent, Target);
    Bytes error = icmpAbout(toTarget);
    ParsedPacket parsed = parsePacket(error);
    ASSERT_EQ(parsed.cause, DropCause::None);
    EXPECT_EQ(parsed.packet.source, Caller);
    EXPECT_EQ(parsed.packet.destination, Target);
    rewriteSource(parsed.packet, Service);
    ParsedPacket atCaller = parsePacket(error);
    ASSERT_EQ(atCaller.cause, DropCause::None);
    EXPECT_EQ(atCaller.packet.destination, Service);
    EXPECT_EQ(loadLong(error, 16), Caller.address.value);
}

TEST(Refusal, IsAValidResetThatAcknowledgesTheFirstSegment)
{
    Bytes bytes = tcpPacket(1, 0, {true, false, false, false});
    std::array<std::uint8_t, MaximumRefusalSize> buffer{};
    const std::size_t size = buildRefusal(parsePacket(bytes).packet, buffer);
    const ParsedPacket reset = parsePacket(std::span(buffer).first(size));
    ASSERT_EQ(reset.cause, DropCause::None);
    EXPECT_TRUE(reset.packet.flags.rst);
    EXPECT_TRUE(standin::hasValidChecksum(reset.packet));
    EXPECT_EQ(standin::readTcp(reset.packet).acknowledgement, 1001U);
    EXPECT_EQ(reset.packet.destination, Caller);
}

TEST(Refusal, NoSegmentOfARunningFlowIsReset)
{
    Bytes bytes = tcpPacket(1, 4, {false, true, false, false});
    std::array<std::uint8_t, MaximumRefusalSize> buffer{};
    EXPECT_EQ(buildRefusal(parsePacket(bytes).packet, buffer), 0U);
}

TEST(Refusal, OfADatagramQuotesIt)
{
    Bytes bytes = standin::makeUdp(Caller, Service, Bytes(100, 1));
    std::array<std::uint8_t, MaximumRefusalSize> buffer{};
    const std::size_t size = buildRefusal(parsePacket(bytes).packet, buffer);
    const ParsedPacket error = parsePacket(std::span(buffer).first(size));
    ASSERT_EQ(error.cause, DropCause::None);
    EXPECT_TRUE(error.packet.isIcmpError());
    EXPECT_EQ(error.packet.source, Caller);
    EXPECT_EQ(error.packet.destination, Service);
}

} // namespace jasminequay
