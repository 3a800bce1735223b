// Packets a second through one traffic thread over loopback, beside a baseline that only copies from socket
// to socket.
#include "fixtures.h"

#include "jasminequay/Fabric/datagrambatch.h"
#include "jasminequay/Fabric/datagramsender.h"
#include "jasminequay/Node/trafficworker.h"

#include <poll.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <thread>

using namespace jasminequay;
using namespace jasminequay::bench;

constexpr std::size_t Flows = 1000;
constexpr std::size_t PayloadSize = 60; // whole datagrams of 100 bytes
constexpr auto RunTime = std::chrono::milliseconds(1500);

static Endpoint local(std::uint16_t port)
{
    return {{0x7f000001}, port};
}

static UdpSocket mustOpen(Result<UdpSocket> socket)
{
    if (!socket) {
        std::fprintf(stderr, "loopback: a socket cannot be opened\n");
        std::exit(3);
    }
    return std::move(socket.value());
}

/// Sends packets of many flows to an address as fast as it goes.
static void flood(Endpoint to, const std::vector<standin::Bytes> &packets, const std::atomic<bool> &isRunning)
{
    const UdpSocket socket = mustOpen(UdpSocket::connectTo(to));
    DatagramSender sender;
    std::size_t next = 0;
    while (isRunning) {
        while (!sender.isFull()) {
            sender.queue(packets[next]);
            next = (next + 1) % packets.size();
        }
        sender.flush(socket);
    }
}

/// Counts what arrives at an address.
static void count(
    const UdpSocket &socket, std::atomic<std::uint64_t> &received, const std::atomic<bool> &isRunning)
{
    DatagramBatch batch;
    while (isRunning) {
        pollfd descriptor{socket.descriptor(), POLLIN, 0};
        poll(&descriptor, 1, 50);
        for (std::size_t got = batch.receive(socket); got > 0; got = batch.receive(socket)) {
            received += got;
        }
    }
}

/// Copies from socket to socket and does nothing else.
static void copy(const UdpSocket &in, const UdpSocket &out, const std::atomic<bool> &isRunning)
{
    DatagramBatch batch;
    DatagramSender sender;
    while (isRunning) {
        pollfd descriptor{in.descriptor(), POLLIN, 0};
        poll(&descriptor, 1, 50);
        for (std::size_t got = batch.receive(in); got > 0; got = batch.receive(in)) {
            for (std::size_t index = 0; index < got; ++index) {
                sender.queue(batch.datagram(index));
            }
            sender.flush(out);
        }
    }
}

/// Returns packets a second that arrive behind whatever forwards from `in` to `out`.
static double measure(Endpoint in, Endpoint out, const std::vector<standin::Bytes> &packets)
{
    const UdpSocket sink = mustOpen(UdpSocket::bindShared(out));
    std::atomic<bool> isRunning{true};
    std::atomic<std::uint64_t> received{0};
    std::thread counter([&]() { count(sink, received, isRunning); });
    std::thread flooder([&]() { flood(in, packets, isRunning); });
    std::this_thread::sleep_for(RunTime / 3);
    const std::uint64_t before = received;
    std::this_thread::sleep_for(RunTime);
    const double rate
        = static_cast<double>(received - before) / std::chrono::duration<double>(RunTime).count();
    isRunning = false;
    flooder.join();
    counter.join();
    return rate;
}

static double measureCopy(const std::vector<standin::Bytes> &packets)
{
    const UdpSocket in = mustOpen(UdpSocket::bindShared(local(17901)));
    const UdpSocket out = mustOpen(UdpSocket::connectTo(local(17902)));
    std::atomic<bool> isRunning{true};
    std::thread copier([&]() { copy(in, out, isRunning); });
    const double rate = measure(local(17901), local(17902), packets);
    isRunning = false;
    copier.join();
    return rate;
}

static double measureWorker(const std::vector<standin::Bytes> &packets)
{
    InstanceSettings settings;
    settings.instance = "a";
    settings.callerSide = local(17903);
    settings.targetSide = local(17904);
    settings.peerData = local(17905);
    settings.callerFabric = local(17906);
    settings.targetFabric = local(17907);
    settings.dataKey = std::string(64, 'a');
    WorkerHooks hooks;
    hooks.onFlowRecords = [](const std::vector<FlowRecord> &) {
    };
    hooks.sendBindings = [](const std::vector<OutgoingBinding> &) {
    };
    hooks.onSweepCompleted = [](std::uint32_t, std::uint64_t) {
    };
    TrafficWorker worker(settings, 0, hooks);
    if (!worker.open()) {
        return 0;
    }
    const TimePoint now = std::chrono::steady_clock::now();
    worker.start();
    worker.applySnapshot(makeSnapshot(makeConfiguration(1, 10, 10), instanceIdOf("a"), now),
        std::make_shared<const PeerDirectory>());
    worker.extendLease(now + std::chrono::hours(1));
    return measure(local(17903), local(17907), packets);
}

int main()
{
    std::vector<standin::Bytes> packets;
    const standin::Bytes payload(PayloadSize, 1);
    for (std::size_t flow = 0; flow < Flows; ++flow) {
        packets.push_back(standin::makeTcp(
            {callerAddress(flow), serviceAddress(flow % 10), 1, 1, {false, true, false, false}, payload}));
    }
    std::vector<double> ratios;
    for (int round = 1; round <= 5; ++round) {
        const double baseline = measureCopy(packets);
        const double whole = measureWorker(packets);
        ratios.push_back(whole / baseline);
        std::printf("round %d: copy %.0f packets/s, traffic thread %.0f packets/s, ratio %.2f\n", round,
            baseline, whole, whole / baseline);
    }
    std::sort(ratios.begin(), ratios.end());
    std::printf("median ratio %.2f (aim: at least 0.80)\n", ratios[ratios.size() / 2]);
    return 0;
}
