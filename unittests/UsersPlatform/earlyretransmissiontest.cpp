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

    /// Runs the path until the condition holds. The time limit only ends a test that has failed.
    template <typename Condition> bool runUntil(Condition condition)
    {
        const TimePoint limit = bootTime() + std::chrono::seconds(20);
        bool isMet = condition();
        while (!isMet && bootTime() < limit) {
            context.run_one_for(milliseconds(1));
            isMet = condition();
        }
        return isMet;
    }

    /// Returns the next datagram of a caller that the target receives; zeros if there is none.
    Datagram receive(std::uint16_t port)
    {
        Datagram bytes;
        const bool isReceived = runUntil([&]() {
            bytes.resize(2048);
            boost::system::error_code error;
            bytes.resize(target.receive(asio::buffer(bytes), 0, error));
            return bytes.size() >= TargetIdSize + HeaderSize
                && PacketHeader::parse(std::span(bytes).subspan(TargetIdSize))->flow().caller.port == port;
        });
        EXPECT_TRUE(isReceived) << port;
        return isReceived ? bytes : Datagram(TargetIdSize + HeaderSize);
    }

    /// Opens a flow that is answered at once.
    void openFlow(std::uint16_t port)
    {
        send(openingOf(port));
        send(nextAfter(receive(port), 0));
        receive(port);
    }

    /// Opens as many flows as it takes to know how long answers take.
    void learnTimesToOpen()
    {
        for (std::uint16_t port = 1000; port < 1050; ++port) {
            openFlow(port);
        }
    }

    /// Returns the number of datagrams that the target receives within a time.
    std::size_t receivedWithin(Duration time)
    {
        std::size_t count = 0;
        const TimePoint end = bootTime() + time;
        runUntil([&]() {
            Datagram bytes(2048);
            boost::system::error_code error;
            target.receive(asio::buffer(bytes), 0, error);
            count += error ? 0 : 1;
            return bootTime() >= end;
        });
        return count;
    }

    asio::io_context context;
    asio::ip::udp::socket caller;
    asio::ip::udp::socket target;
    SteeringEngine engine;
    SteeringPath<Adapter> path;
    std::vector<std::string> events;
};

/// Guards against copies that differ from the datagram that was sent, that come only when the caller sends
/// its own, or more than once.
TEST_F(EarlyRetransmissionPathTest, TheTargetGetsTheIdenticalDatagramOnceMore)
{
    start(RequestKind::Idempotent, 0.2);
    learnTimesToOpen();
    const TimePoint sentAt = bootTime();
    send(openingOf(CallerPort));
    const Datagram opening = receive(CallerPort);
    EXPECT_EQ(opening.size(), TargetIdSize + HeaderSize);
    EXPECT_EQ(receive(CallerPort), opening);
    EXPECT_LT(bootTime() - sentAt, milliseconds(200));

    send(nextAfter(opening, 3));
    const Datagram request = receive(CallerPort);
    EXPECT_EQ(request.size(), TargetIdSize + HeaderSize + 3);
    EXPECT_EQ(receive(CallerPort), request);
    EXPECT_EQ(receivedWithin(milliseconds(250)), 0U);
    EXPECT_EQ(path.counters().earlyRetransmissions.sent, 2U);
}

/// Guards against copies of what may run only once.
TEST_F(EarlyRetransmissionPathTest, NonIdempotentRoutesGetNoCopies)
{
    start(RequestKind::NonIdempotent, 0.2);
    learnTimesToOpen();
    send(openingOf(CallerPort));
    send(nextAfter(receive(CallerPort), 3));
    receive(CallerPort);
    EXPECT_EQ(receivedWithin(milliseconds(250)), 0U);
    EXPECT_EQ(path.counters().earlyRetransmissions.covered, 0U);
}

/// Guards against copies and kept packets where the operators did not ask for them.
TEST_F(EarlyRetransmissionPathTest, NothingIsCoveredWhenOff)
{
    start(RequestKind::Idempotent, 0);
    learnTimesToOpen();
    send(openingOf(CallerPort));
    receive(CallerPort);
    EXPECT_EQ(receivedWithin(milliseconds(250)), 0U);
    EXPECT_EQ(path.counters().earlyRetransmissions.covered, 0U);
}

/// Guards against operators who cannot see that the limit they set is reached, and against one line for each
/// packet.
TEST_F(EarlyRetransmissionPathTest, TheBeginAndEndOfAnExhaustedBudgetAreLoggedOnce)
{
    start(RequestKind::Idempotent, 0.2);
    learnTimesToOpen();
    std::uint16_t port = 2000;
    while (path.counters().earlyRetransmissions.suppressedByBudget == 0 && port < 2010) {
        send(openingOf(++port));
        const Datagram opening = receive(port);
        const std::uint64_t sent = path.counters().earlyRetransmissions.sent;
        EXPECT_TRUE(runUntil([&]() {
            const EarlyRetransmissionCounters counters = path.counters().earlyRetransmissions;
            return counters.sent > sent || counters.suppressedByBudget > 0;
        }));
        send(nextAfter(opening, 0));
        receive(port);
    }
    EXPECT_EQ(path.counters().earlyRetransmissions.sent, 4U);
    while (events.size() < 2 && port < 2100) {
        openFlow(++port);
    }
    const std::vector<std::string> expected{
        "retransmission-budget-exhausted", "retransmission-budget-regained"};
    EXPECT_EQ(events, expected);
}

} // namespace jasminequay::platform
