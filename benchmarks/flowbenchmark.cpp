// Flow table, placing and sweeping.
#include "fixtures.h"

#include "jasminequay/Flow/flowengine.h"
#include "jasminequay/Packet/packetparser.h"
#include "jasminequay/Placement/selection.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <random>

namespace jasminequay::bench
{

using standin::Bytes;

/// Fills a table and returns its keys in a random order.
static std::vector<FlowKey> fillTable(FlowTable &table, std::size_t flows)
{
    std::vector<FlowKey> keys;
    for (std::size_t number = 0; number < flows; ++number) {
        keys.push_back(FlowKey::of(callerAddress(number), static_cast<ServiceId>(number % 74)));
        table.insert(keys.back());
    }
    std::shuffle(keys.begin(), keys.end(), std::mt19937_64(1));
    return keys;
}

static void lookup(benchmark::State &state)
{
    const auto flows = static_cast<std::size_t>(state.range(0));
    FlowTable table(flows);
    const std::vector<FlowKey> keys = fillTable(table, flows);
    std::size_t next = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(table.find(keys[next]));
        next = next + 1 == flows ? 0 : next + 1;
    }
    state.counters["bytes/flow"]
        = static_cast<double>(table.slots().size() * sizeof(FlowEntry)) / static_cast<double>(flows);
}
BENCHMARK(lookup)->Arg(10000)->Arg(100000)->Arg(500000)->Arg(2000000);

/// Lookups of a batch with prefetching, as packets arrive.
static void lookupBatched(benchmark::State &state)
{
    constexpr std::size_t Batch = 32;
    const auto flows = static_cast<std::size_t>(state.range(0));
    FlowTable table(flows);
    const std::vector<FlowKey> keys = fillTable(table, flows);
    std::size_t next = 0;
    for (auto _ : state) {
        for (std::size_t index = 0; index < Batch; ++index) {
            table.prefetch(keys[(next + index) % flows]);
        }
        for (std::size_t index = 0; index < Batch; ++index) {
            benchmark::DoNotOptimize(table.find(keys[(next + index) % flows]));
        }
        next = (next + Batch) % flows;
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations() * Batch));
}
BENCHMARK(lookupBatched)->Arg(2000000);

static void placeFlow(benchmark::State &state)
{
    const TimePoint now(std::chrono::seconds(1000));
    Configuration configuration = makeConfiguration(1, 1, static_cast<std::size_t>(state.range(0)));
    configuration.services[0].policy.placement = static_cast<PlacementPolicy>(state.range(1));
    const RoutingSnapshot snapshot = makeSnapshot(configuration, {1}, now);
    std::uint64_t flow = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(selectTarget(*snapshot.catalogue->service(0), ++flow, now));
    }
}
BENCHMARK(placeFlow)->ArgsProduct({{4, 14, 100}, {0, 1, 2}});

/// A whole new flow at its owner: first packet, entry, count.
static void newFlow(benchmark::State &state)
{
    const TimePoint now(std::chrono::seconds(1000));
    EngineLimits limits;
    limits.flows = 1 << 20;
    FlowEngine engine({1}, limits, now);
    engine.applySnapshot(makeSnapshot(makeConfiguration(1, 74, 10), {1}, now));
    engine.extendLease(now + std::chrono::hours(1));
    Bytes bytes
        = standin::makeTcp({callerAddress(1), serviceAddress(0), 1, 1, {true, false, false, false}, {}});
    PacketView packet = parsePacket(bytes).packet;
    std::size_t number = 0;
    for (auto _ : state) {
        packet.source = callerAddress(++number);
        benchmark::DoNotOptimize(engine.onCallerPacket(packet, {}, 0, now + std::chrono::minutes(5)));
    }
}
BENCHMARK(newFlow)->Iterations(500000);

/// One pass of the sweep over a table with flows that go on.
static void sweepPass(benchmark::State &state)
{
    const auto flows = static_cast<std::size_t>(state.range(0));
    const TimePoint start(std::chrono::seconds(1000));
    EngineLimits limits;
    limits.flows = flows;
    FlowEngine engine({1}, limits, start);
    engine.applySnapshot(makeSnapshot(makeConfiguration(1, 74, 10), {1}, start));
    engine.extendLease(start + std::chrono::hours(1));
    Bytes bytes
        = standin::makeTcp({callerAddress(1), serviceAddress(0), 1, 1, {true, false, false, false}, {}});
    PacketView packet = parsePacket(bytes).packet;
    TimePoint now = start + std::chrono::minutes(5);
    for (std::size_t number = 0; number < flows; ++number) {
        packet.source = callerAddress(number);
        engine.onCallerPacket(packet, {}, 0, now);
    }
    for (auto _ : state) {
        now += std::chrono::seconds(1);
        engine.sweep(1U << 30, now);
    }
    state.counters["flows"] = static_cast<double>(engine.flows());
}
BENCHMARK(sweepPass)->Arg(10000)->Arg(100000)->Iterations(5);

} // namespace jasminequay::bench
