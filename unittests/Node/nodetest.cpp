// Tests of traffic threads with real sockets on loopback, and of the metrics page.
#include "packetfactory.h"
#include "udpbridge.h"

#include "jasminequay/Node/metricspage.h"
#include "jasminequay/Node/trafficworker.h"
#include "jasminequay/Placement/cataloguebuilder.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <mutex>
#include <unistd.h>

namespace jasminequay
{

constexpr Ipv4Address Loopback{0x7f000001};

static Endpoint local(std::uint16_t port)
{
    return {Loopback, port};
}

/// Guards against lost or wrongly counted datagrams: a plain UDP client and a plain UDP server exchange
/// datagrams through two traffic threads, and the flow records must hold the bytes that were sent.
TEST(TrafficWorker, UdpClientAndServerCommunicateThroughTwoWorkers)
{
    InstanceSettings settings;
    settings.instance = "fk-1";
    settings.dataCentre = "dc";
    settings.callerSide = local(17831);
    settings.targetSide = local(17832);
    settings.peerData = local(17833);
    settings.callerFabric = local(17834);
    settings.targetFabric = local(17835);
    settings.dataKey = std::string(64, 'a');
    settings.trafficThreads = 2;

    Configuration configuration;
    configuration.version = 1;
    ServiceSettings service;
    service.name = "names";
    service.dataCentre = "dc";
    service.address = {{0x0a010001}, 53};
    service.protocol = Protocol::Udp;
    TargetSettings target;
    target.address = {{0x0a020001}, 53};
    target.connectionLimit = 100;
    service.targets.push_back(target);
    configuration.services.push_back(service);
    CatalogueBuilder builder("dc");
    const TimePoint now = std::chrono::steady_clock::now();
    RoutingSnapshot snapshot;
    snapshot.catalogue = builder.apply(configuration, now);
    const InstanceId self = instanceIdOf("fk-1");
    snapshot.ownership = std::make_shared<const OwnershipView>(
        *snapshot.catalogue, self, MemberSets{{self}, {}, TimePoint::min(), false}, OwnershipView{}, now);

    std::mutex mutex;
    std::uint64_t bytesUp = 0;
    WorkerHooks hooks;
    hooks.onFlowRecords = [&](const std::vector<FlowRecord> &records) {
        const std::lock_guard lock(mutex);
        for (const FlowRecord &record : records) {
            bytesUp += record.bytesUp;
        }
    };
    hooks.sendBindings = [](const std::vector<OutgoingBinding> &) {
    };
    hooks.onSweepCompleted = [](std::uint32_t, std::uint64_t) {
    };
    std::vector<std::unique_ptr<TrafficWorker>> workers;
    for (std::uint32_t index = 0; index < 2; ++index) {
        workers.push_back(std::make_unique<TrafficWorker>(settings, index, hooks));
        ASSERT_TRUE(workers.back()->open());
        workers.back()->start();
        workers.back()->applySnapshot(snapshot, std::make_shared<const PeerDirectory>());
        workers.back()->extendLease(now + std::chrono::hours(1));
    }

    const std::string fabricFile
        = std::filesystem::temp_directory_path() / ("jasminequay-fabric-" + std::to_string(getpid()));
    std::ofstream(fabricFile)
        << "instances:\n  - {caller-side: 127.0.0.1:17831, target-side: 127.0.0.1:17832}\n";
    boost::asio::io_context context(1);
    standin::FabricLoop fabric(context, local(17834), local(17835), fabricFile, 1);
    std::filesystem::remove(fabricFile);
    standin::UdpBridge bridge(context, fabric, local(17836), local(17837), service.address);
    bridge.addTarget(target.address, local(17838), local(17839));
    fabric.deliverTo([&](const PacketView &packet) { bridge.toCaller(packet); },
        [&](const PacketView &packet) { bridge.toTarget(packet); });
    standin::Listener *echo = nullptr;
    standin::Listener server(
        context, local(17838), [&](std::span<std::uint8_t> bytes) { echo->send(bytes, local(17839)); });
    echo = &server;
    std::string answer;
    standin::Listener client(context, local(17837),
        [&](std::span<std::uint8_t> bytes) { answer.assign(bytes.begin(), bytes.end()); });
    const std::string question = "which power code";
    for (int attempt = 0; attempt < 100 && answer.empty(); ++attempt) {
        client.send(std::span(reinterpret_cast<const std::uint8_t *>(question.data()), question.size()),
            local(17836));
        context.run_one_for(std::chrono::milliseconds(100));
        context.poll();
    }
    EXPECT_EQ(answer, question);
    TrafficCounters sum;
    for (const auto &worker : workers) {
        worker->stop();
        worker->stats().addTo(sum);
    }
    EXPECT_EQ(sum.engine.placed, 1U);
    EXPECT_EQ(sum.bytesToTargets, bytesUp) << "the flow records must count what was sent";
}

/// Guards against metrics that are exported but missing in the documentation for operators.
TEST(MetricsPage, EveryMetricIsDocumented)
{
    InstanceSettings settings;
    settings.instance = "fk-1";
    const TimePoint now(std::chrono::seconds(100));
    const InstanceControl control(settings, 1, now, 1);
    std::istringstream page(metricsPage(control, {}, {}));
    std::ifstream file(std::string(JASMINEQUAY_SOURCE) + "/docs/OPERATIONS.md");
    const std::string document{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    std::string line;
    while (std::getline(page, line)) {
        if (line.starts_with("# HELP ")) {
            const std::string name = line.substr(7, line.find(' ', 7) - 7);
            EXPECT_NE(document.find("`" + name + "`"), std::string::npos)
                << "docs/OPERATIONS.md lacks " << name;
        }
    }
}

} // namespace jasminequay
