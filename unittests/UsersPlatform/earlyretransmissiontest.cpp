// Tests of early retransmission by the packet path, with real sockets on loopback and without a store.
#include "platform/attachment.h"

#include "jasminequay/Node/steeringpath.h"

#include <boost/asio/ip/udp.hpp>
#include <gtest/gtest.h>

namespace jasminequay::platform
{

namespace asio = boost::asio;
using std::chrono::milliseconds;
using Datagram = std::vector<std::uint8_t>;

constexpr Endpoint Service{{0xc6120001}, 443};
constexpr std::uint16_t PathPort = 17881;
constexpr std::uint16_t CallerPort = 17882;
constexpr std::uint16_t TargetPort = 17883;

static asio::ip::udp::endpoint loopback(std::uint16_t port)
{
    return {asio::ip::address_v4::loopback(), port};
}

/// Returns an opening packet from a port of 127.0.0.1 to the service.
static Datagram openingOf(std::uint16_t callerPort)
{
    return {0, 0, 0, 0, 0, 0, 0x80, 0, 0, 0, 0, 0, 1, 2, 3, 4, 0, 0, 0, 0, 9, 9, 9, 9, 0x01, 0xbb,
        static_cast<std::uint8_t>(callerPort >> 8), static_cast<std::uint8_t>(callerPort), 0x7f, 0, 0, 1,
        0xc6, 0x12, 0, 1};
}

/// Returns the caller's next packet after an opening packet that was forwarded as `forwarded`.
static Datagram nextAfter(const Datagram &forwarded, std::uint8_t dataSize)
{
    Datagram packet(forwarded.begin() + TargetIdSize, forwarded.end());
    packet[1] = dataSize;
    packet[6] = 4;
    ++packet[15];
    packet[19] = 1;
    packet.resize(HeaderSize + dataSize, 'd');
    return packet;
}

class EarlyRetransmissionPathTest : public testing::Test
{
protected:
    EarlyRetransmissionPathTest()
        : caller(context, loopback(CallerPort))
        , target(context, loopback(TargetPort))
        , engine({"z", 1024, std::chrono::seconds(60), std::chrono::seconds(60), {}, {}})
        , path(context, engine,
              {[]() { return true; }, []() { return TimePoint{}; },
                  [](const PacketSummary &, const SteeringDecision &, TimePoint) {
                  }})
    {
        target.non_blocking(true);
        setLogSink(
            [this](Severity, std::string_view event, const std::string &) { events.emplace_back(event); });
        TargetRecord record;
        record.name = "i-2a";
        record.identity = {0x2a, 5};
        record.address = {{0x7f000001}, TargetPort};
        record.service = "s";
        record.dataCentre = "z";
        record.revision = 1;
        engine.targets().put(record, bootTime());
    }

    ~EarlyRetransmissionPathTest() override
    {
        setLogSink({});
    }

    void start(RequestKind kind, double share)
    {
        RouteConfiguration routes;
        routes.version = 1;
        routes.routes.push_back({"r", Service, kind, std::chrono::seconds(1), {{"s", 1}}, {}, 0});
        engine.replaceRoutes(std::move(routes), bootTime());
        engine.markCurrentAt(bootTime());
        path.setRetransmissionShare(share);
        const bool isOpen = withFailure(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(path.open(context, {{0x7f000001}, PathPort}));
                return true;
            },
            [](const Failure &failure) {
                ADD_FAILURE() << describe(failure);
                return false;
            });
        ASSERT_TRUE(isOpen);
    }

    void send(const Datagram &packet)
    {
        caller.send_to(asio::buffer(packet), loopback(PathPort));
    }

    /// Adds what the target receives within a time to `received`.
    void runFor(Duration time)
    {
        const TimePoint end = bootTime() + time;
        while (bootTime() < end) {
            context.run_one_for(milliseconds(5));
            Datagram bytes(2048);
            boost::system::error_code error;
            bytes.resize(target.receive(asio::buffer(bytes), 0, error));
            if (!error) {
                received.push_back(std::move(bytes));
                receivedAt.push_back(bootTime());
            }
        }
    }

    asio::io_context context;
    asio::ip::udp::socket caller;
    asio::ip::udp::socket target;
    SteeringEngine engine;
    SteeringPath<Adapter> path;
    std::vector<std::string> events;
    std::vector<Datagram> received;
    std::vector<TimePoint> receivedAt;
};

/// Guards against copies that differ from the datagram that was sent, that come after the caller's own, or
/// more than once.
TEST_F(EarlyRetransmissionPathTest, TheTargetGetsTheIdenticalDatagramOnceMore)
{
    start(RequestKind::Idempotent, 0.2);
    send(openingOf(CallerPort));
    runFor(milliseconds(400));
    ASSERT_EQ(received.size(), 2U);
    EXPECT_EQ(received[0], received[1]);
    EXPECT_EQ(received[0].size(), TargetIdSize + HeaderSize);
    EXPECT_GE(receivedAt[1] - receivedAt[0], milliseconds(100));
    EXPECT_LT(receivedAt[1] - receivedAt[0], milliseconds(200));

    send(nextAfter(received[0], 3));
    runFor(milliseconds(400));
    ASSERT_EQ(received.size(), 4U);
    EXPECT_EQ(received[2], received[3]);
    EXPECT_EQ(received[2].size(), TargetIdSize + HeaderSize + 3);
    EXPECT_EQ(path.counters().earlyRetransmissions.sent, 2U);
}

/// Guards against copies of what may run only once, and where the operators did not ask for copies.
TEST_F(EarlyRetransmissionPathTest, NonIdempotentRoutesGetNoCopies)
{
    start(RequestKind::NonIdempotent, 0.2);
    send(openingOf(CallerPort));
    runFor(milliseconds(250));
    EXPECT_EQ(received.size(), 1U);
    EXPECT_EQ(path.counters().earlyRetransmissions.covered, 0U);
}

TEST_F(EarlyRetransmissionPathTest, NothingIsCoveredWhenOff)
{
    start(RequestKind::Idempotent, 0);
    send(openingOf(CallerPort));
    runFor(milliseconds(250));
    EXPECT_EQ(received.size(), 1U);
    EXPECT_EQ(path.counters().earlyRetransmissions.covered, 0U);
}

/// Guards against operators who cannot see that the limit they set is reached, and against one line for each
/// packet.
TEST_F(EarlyRetransmissionPathTest, TheBeginAndEndOfAnExhaustedBudgetAreLoggedOnce)
{
    start(RequestKind::Idempotent, 0.2);
    std::uint16_t port = 1;
    for (; port <= 5; ++port) {
        send(openingOf(port));
        runFor(milliseconds(160));
        send(nextAfter(received.back(), 0));
        runFor(milliseconds(10));
    }
    EXPECT_EQ(path.counters().earlyRetransmissions.sent, 4U);
    EXPECT_EQ(path.counters().earlyRetransmissions.suppressedByBudget, 1U);
    for (; port <= 15; ++port) {
        send(openingOf(port));
        runFor(milliseconds(5));
        send(nextAfter(received.back(), 0));
        runFor(milliseconds(5));
    }
    const std::vector<std::string> expected{
        "retransmission-budget-exhausted", "retransmission-budget-regained"};
    EXPECT_EQ(events, expected);
}

} // namespace jasminequay::platform
