// Tests of a complete instance on loopback with the adapter to the users' platform: a fake store, a caller
// and a target.
#include "fakestore.h"

#include "platform/attachment.h"

#include "jasminequay/Node/steeringnode.h"
#include "jasminequay/Platform/httpexchange.h"

#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

namespace jasminequay::platform
{

namespace asio = boost::asio;
using std::chrono::seconds;

static Endpoint local(std::uint16_t port)
{
    return {{0x7f000001}, port};
}

/// A UDP socket of a caller or a target.
class UdpParty
{
public:
    UdpParty(asio::io_context &context, std::uint16_t port)
        : m_socket(context, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), port))
    {
        m_socket.non_blocking(true);
    }

    void send(const std::vector<std::uint8_t> &bytes, std::uint16_t port)
    {
        m_socket.send_to(
            asio::buffer(bytes), asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), port));
    }

    /// Returns a received datagram; nothing if there is none.
    std::optional<std::vector<std::uint8_t>> poll()
    {
        std::vector<std::uint8_t> bytes(2048);
        boost::system::error_code error;
        bytes.resize(m_socket.receive(asio::buffer(bytes), 0, error));
        return error ? std::nullopt : std::optional(std::move(bytes));
    }

private:
    asio::ip::udp::socket m_socket;
};

/// Returns an opening packet from 127.0.0.1:40001 to a port of 198.18.0.1.
static std::vector<std::uint8_t> openingTo(std::uint16_t port)
{
    return {0, 0, 0, 0, 0, 0, 0x80, 0, 0, 0, 0, 0, 1, 2, 3, 4, 0, 0, 0, 0, 9, 9, 9, 9,
        static_cast<std::uint8_t>(port >> 8), static_cast<std::uint8_t>(port), 0x9c, 0x41, 0x7f, 0, 0, 1,
        0xc6, 0x12, 0, 1};
}

class SteeringNodeTest : public testing::Test
{
protected:
    SteeringNodeTest()
        : store(context)
        , file(std::filesystem::temp_directory_path() / ("jasminequay-steer-" + std::to_string(getpid())))
        , log(STDERR_FILENO, Severity::Error, {})
    {
        store.put("op/config",
            R"({"version":3,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/","type":"idempotent",)"
            R"("service":"s"}],"services":[],"limits":{"idleTimeoutMs":15000}})");
        store.put("servers/i-2a",
            R"({"service":"s","addr":"127.0.0.1:17866","zone":"z","version":"v1","concurrency":2,"state":"ready",)"
            R"("warmLeftMs":0,"seq":1,"born":5})");
        settings.instance = "fk-1";
        settings.dataCentre = "z";
        settings.packets = local(17861);
        settings.readiness = local(17862);
        settings.control = local(17863);
        settings.peerPort = 17864;
        settings.store = store.address();
        settings.gracePeriod = seconds(2);
        std::ofstream(file) << "first";
    }

    ~SteeringNodeTest() override
    {
        std::filesystem::remove(file);
    }

    /// Lets the store serve until the condition holds. The time limit only ends a test that has failed.
    template <typename Condition> bool runUntil(Condition condition)
    {
        const auto limit = std::chrono::steady_clock::now() + seconds(20);
        bool isMet = condition();
        while (!isMet && std::chrono::steady_clock::now() < limit) {
            context.run_one_for(std::chrono::milliseconds(5));
            isMet = condition();
        }
        return isMet;
    }

    /// Fetches an HTTP page of the instance.
    HttpAnswer page(std::uint16_t port, const std::string &path)
    {
        std::optional<HttpAnswer> answer;
        asio::co_spawn(context, httpGet(local(port), path, {seconds(5), 1 << 20}, Step::ConnectPeer),
            [&](const std::exception_ptr &, HttpAnswer got) { answer = std::move(got); });
        runUntil([&]() { return answer.has_value(); });
        return answer.value_or(HttpAnswer{});
    }

    asio::io_context context;
    FakeStore store;
    SteeringInstanceSettings settings;
    std::string file;
    LineLog log;
    WallClock clock{Duration{}};
};

/// Guards against faults in the wiring of an instance: it must become ready, forward packets with target id
/// and token, serve its pages, and stop on SIGTERM.
TEST_F(SteeringNodeTest, LoadsForwardsAndLeaves)
{
    UdpParty caller(context, 17865);
    UdpParty target(context, 17866);
    SteeringNode<Adapter> node(settings, SettingsWatch(file, "first"), log, clock);
    bool hasFailed = false;
    std::thread process([&]() {
        hasFailed = withFailure(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(node.run());
                return false;
            },
            [](const Failure &failure) {
                ADD_FAILURE() << describe(failure);
                return true;
            });
    });
    EXPECT_TRUE(runUntil([&]() { return page(17862, "/any").status == 200; }));

    // A received packet is forwarded with the target id before it and a token inside.
    std::optional<std::vector<std::uint8_t>> forwarded;
    EXPECT_TRUE(runUntil([&]() {
        caller.send(openingTo(443), 17861);
        forwarded = target.poll();
        return forwarded.has_value();
    }));
    ASSERT_EQ(forwarded->size(), TargetIdSize + HeaderSize);
    EXPECT_EQ((*forwarded)[7], 0x2a);
    const auto header = PacketHeader::parse(std::span(*forwarded).subspan(TargetIdSize));
    ASSERT_TRUE(header);
    EXPECT_EQ(steeringToken(TargetIdentity{0x2a, 5}.key(), header->token() >> 30), header->token());

    EXPECT_EQ(page(17863, "/placement?address=198.18.0.1:443").status, 200U);
    EXPECT_EQ(page(17863, "/placement?address=198.18.0.9:443").status, 404U);
    EXPECT_EQ(page(17863, "/placement?address=checkout").status, 400U);
    const HttpAnswer metrics = page(17863, "/metrics");
    EXPECT_NE(metrics.body.find("jasminequay_decisions_total{cause=\"placed\"}"), std::string::npos);
    EXPECT_EQ(page(17863, PeerChannel::DirectoryPath.data()).status, 200U);

    // The documentation for operators lists every metric.
    std::ifstream document(std::string(JASMINEQUAY_SOURCE) + "/docs/OPERATIONS.md");
    const std::string text{std::istreambuf_iterator<char>(document), std::istreambuf_iterator<char>()};
    std::istringstream lines(metrics.body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("# HELP ")) {
            const std::string name = line.substr(7, line.find(' ', 7) - 7);
            EXPECT_NE(text.find("`" + name + "`"), std::string::npos) << "docs/OPERATIONS.md lacks " << name;
        }
    }

    std::raise(SIGTERM);
    EXPECT_TRUE(runUntil([&]() { return page(17862, "/any").status != 200; }));
    process.join();
    EXPECT_FALSE(hasFailed);
}

/// Guards against stale state after a pause of the process: the ages in messages that were queued meanwhile
/// are too small, so the messages must be discarded unread.
TEST(PeerChannelTest, MessagesQueuedDuringAPauseAreDiscarded)
{
    asio::io_context context;
    unsigned received = 0;
    PeerChannel channel(context,
        {[&received](const FleetMessage &) { ++received; }, [](const FetchResponse &) {},
            [](Endpoint) {
            }});
    ASSERT_TRUE(withFailure(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(channel.open(local(17871)));
            return true;
        },
        [](const Failure &) { return false; }));
    OutgoingFleetMessage outgoing;
    outgoing.to = {local(17872), local(17873), local(17874)};
    outgoing.message.sender = "127.0.0.1:17872";
    channel.send(outgoing);
    EXPECT_EQ(channel.discardBacklog(), 3U);
    context.poll();
    EXPECT_EQ(received, 0U);
    EXPECT_EQ(channel.discardBacklog(), 0U);
}

/// Guards against losing valid settings: a file with mistakes, an empty file and a missing file must be
/// ignored, and the mistakes logged with their position.
TEST(SettingsWatchTest, ReturnsValidChangesAndLogsMistakes)
{
    const std::string path
        = std::filesystem::temp_directory_path() / ("jasminequay-watch-" + std::to_string(getpid()));
    const std::string good = "instance: a\ndata-centre: z\npackets: 1.1.1.1:1\nreadiness: 1.1.1.1:2\n"
                             "control: 1.1.1.1:3\nstore: 1.1.1.1:4\npeer-port: 5\n";
    std::ofstream(path) << good;
    SettingsWatch watch(path, good);
    EXPECT_FALSE(watch.poll()) << "nothing has changed";
    std::ofstream(path) << good << "settings-bound: 5s\n";
    const std::optional<SteeringInstanceSettings> changed = watch.poll();
    ASSERT_TRUE(changed);
    EXPECT_EQ(changed->settingsBound, seconds(5));
    std::string mistakes;
    setLogSink([&](Severity, std::string_view, const std::string &pairs) { mistakes += pairs; });
    std::ofstream(path) << good << "settings-bound: soon\n";
    EXPECT_FALSE(watch.poll());
    setLogSink({});
    EXPECT_NE(mistakes.find(path + ":8"), std::string::npos) << mistakes;
    std::ofstream(path) << "";
    EXPECT_FALSE(watch.poll()) << "a file that is being replaced may be empty";
    std::filesystem::remove(path);
    EXPECT_FALSE(watch.poll());
}

} // namespace jasminequay::platform
