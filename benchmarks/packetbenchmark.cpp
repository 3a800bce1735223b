// The packet path without sockets.
#include "fixtures.h"

#include "jasminequay/Node/packetpath.h"
#include "jasminequay/Packet/packetparser.h"
#include "jasminequay/Packet/rewrite.h"

#include <benchmark/benchmark.h>

namespace jasminequay::bench
{

using standin::Bytes;

static void rewriteAlone(benchmark::State &state)
{
    Bytes bytes = standin::makeTcp({callerAddress(1), serviceAddress(0), 1, 1, {}, Bytes(60, 1)});
    PacketView packet = parsePacket(bytes).packet;
    const Endpoint target{{0x0a800001}, 8443};
    for (auto _ : state) {
        rewriteDestination(packet, target);
        benchmark::DoNotOptimize(packet.bytes.data());
    }
}
BENCHMARK(rewriteAlone);

static void parseAlone(benchmark::State &state)
{
    Bytes bytes = standin::makeTcp({callerAddress(1), serviceAddress(0), 1, 1, {}, Bytes(60, 1)});
    for (auto _ : state) {
        benchmark::DoNotOptimize(parsePacket(bytes));
    }
}
BENCHMARK(parseAlone);

namespace
{

/// Takes packets and forgets them.
class NullOutput : public PacketOutput
{
public:
    void toTargets(std::span<const std::uint8_t> packet) override
    {
        benchmark::DoNotOptimize(packet.data());
    }

    void toCallers(std::span<const std::uint8_t> packet) override
    {
        benchmark::DoNotOptimize(packet.data());
    }

    void toPeer(std::span<const std::uint8_t> datagram, Endpoint) override
    {
        benchmark::DoNotOptimize(datagram.data());
    }
};

} // namespace

/// Parse, look up, decide, count and rewrite: one packet of one of many established flows.
static void wholePath(benchmark::State &state)
{
    const auto flows = static_cast<std::size_t>(state.range(0));
    const TimePoint now(std::chrono::seconds(1000));
    EngineLimits limits;
    limits.flows = flows + 1024;
    FlowEngine engine({1}, limits, now);
    engine.applySnapshot(makeSnapshot(makeConfiguration(1, 74, 10), {1}, now));
    engine.extendLease(now + std::chrono::hours(1));
    const DataChannel channel({1}, std::string(64, 'a'));
    NullOutput output;
    PacketPath path(engine, channel, output);
    std::vector<Bytes> packets;
    for (std::size_t number = 0; number < flows; ++number) {
        packets.push_back(standin::makeTcp(
            {callerAddress(number), serviceAddress(number % 74), 1, 1, {true, false, false, false}, {}}));
        Bytes first = packets.back();
        path.onFabricPacket(first, FabricSide::Callers, now + std::chrono::minutes(5));
        packets.back()[33] = 0x10;
        packets.back()[36] = packets.back()[37] = 0;
    }
    std::size_t next = 0;
    Bytes scratch;
    for (auto _ : state) {
        scratch = packets[next];
        path.onFabricPacket(scratch, FabricSide::Callers, now + std::chrono::minutes(5));
        next = (next + 7919) % flows;
    }
    state.counters["forwarded"] = static_cast<double>(path.counters().packetsToTargets);
}
BENCHMARK(wholePath)->Arg(1000)->Arg(100000);

} // namespace jasminequay::bench
