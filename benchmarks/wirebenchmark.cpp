// Messages between instances, and records.
#include "fixtures.h"

#include "jasminequay/Peer/datachannel.h"
#include "jasminequay/Record/connectionrecord.h"

#include <benchmark/benchmark.h>

namespace jasminequay::bench
{

static const FlowTuple SomeFlow{callerAddress(1), serviceAddress(0), Protocol::Tcp};

static void encodeBinding(benchmark::State &state)
{
    const DataChannel channel({1}, std::string(64, 'a'));
    std::size_t bytes = 0;
    for (auto _ : state) {
        bytes = channel.encode({{1}, BindingMessage{BindingKind::OwnerReply, SomeFlow, {{1}, 2}, true}}, 7)
                    .size();
    }
    state.counters["wire bytes"] = static_cast<double>(bytes);
}
BENCHMARK(encodeBinding);

static void forwardPacket(benchmark::State &state)
{
    const DataChannel channel({1}, std::string(64, 'a'));
    const DataMessage message{{1},
        ForwardedPacket{FabricSide::Callers, 1, standin::Bytes(static_cast<std::size_t>(state.range(0)))}};
    for (auto _ : state) {
        const auto datagram = channel.encode(message, 7);
        benchmark::DoNotOptimize(channel.decode(datagram, {}));
    }
}
BENCHMARK(forwardPacket)->Arg(60)->Arg(1400);

static void writeRecord(benchmark::State &state)
{
    FlowRecord flow;
    flow.flow = SomeFlow;
    flow.service = "codebook";
    flow.division = "fjernkode";
    const ConnectionRecord record{RecordKind::Flow, "fk-1", 1796361998757, 7, 1796361998757, flow};
    for (auto _ : state) {
        benchmark::DoNotOptimize(formatRecord(record));
    }
    state.counters["bytes"] = static_cast<double>(formatRecord(record).size());
}
BENCHMARK(writeRecord);

} // namespace jasminequay::bench
