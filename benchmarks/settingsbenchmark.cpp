// Checking and applying settings.
#include "fixtures.h"

#include "jasminequay/Peer/controlmessage.h"
#include "jasminequay/Placement/cataloguebuilder.h"
#include "jasminequay/Settings/treeparser.h"

#include <benchmark/benchmark.h>

namespace jasminequay::bench
{

static void checkTree(benchmark::State &state)
{
    const std::string text = makeTree(1, static_cast<std::size_t>(state.range(0)), 10);
    for (auto _ : state) {
        benchmark::DoNotOptimize(parseTree(text));
    }
    state.counters["text bytes"] = static_cast<double>(text.size());
    state.counters["wire bytes"]
        = static_cast<double>(encodeControl({"a", SettingsReply{1, text, {}}}).size());
}
BENCHMARK(checkTree)->Arg(10)->Arg(74)->Arg(440);

/// A change of one service among many.
static void applyChange(benchmark::State &state)
{
    const TimePoint now(std::chrono::seconds(1000));
    CatalogueBuilder builder("dc");
    Configuration configuration = makeConfiguration(1, static_cast<std::size_t>(state.range(0)), 10);
    builder.apply(configuration, now);
    for (auto _ : state) {
        ++configuration.version;
        configuration.services[0].policy.bound = 1 + static_cast<double>(configuration.version % 7);
        benchmark::DoNotOptimize(builder.apply(configuration, now));
    }
}
BENCHMARK(applyChange)->Arg(10)->Arg(74)->Arg(440);

} // namespace jasminequay::bench
