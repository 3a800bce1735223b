// Slopes of steering by token and of the fleet's knowledge, for docs/CAPACITY.md.
#include "jasminequay/Fleet/fleetcontrol.h"
#include "jasminequay/Peer/fleetcodec.h"

#include <benchmark/benchmark.h>

namespace jasminequay
{

constexpr TimePoint Start = TimePoint(std::chrono::hours(1));

static TargetRecord targetOf(std::uint32_t number, std::uint32_t services)
{
    return {"i-" + std::to_string(number), {number + 1, 1'790'000'000'000}, {{0x0a800000 + number}, 8080},
        "s" + std::to_string(number % services), "dc-" + std::to_string(number % 6), 2, false, {},
        number + 1};
}

/// Routes over services of about nine targets, as letter 1 has them.
static DirectoryUpdate directoryOf(std::uint32_t targets)
{
    const std::uint32_t services = std::max<std::uint32_t>(targets / 9, 1);
    DirectoryUpdate update;
    update.revision = targets + 1;
    update.isComplete = true;
    update.routes = RouteConfiguration{1, std::chrono::seconds(15), {}, {}};
    for (std::uint32_t number = 0; number < services; ++number) {
        update.routes->routes.push_back({"r" + std::to_string(number), {{0xc6120000 + number}, 443},
            RequestKind::Idempotent, std::chrono::seconds(1), {{"s" + std::to_string(number), 1}}});
    }
    for (std::uint32_t number = 0; number < targets; ++number) {
        update.targets.push_back(targetOf(number, services));
    }
    return update;
}

static void load(SteeringEngine &engine, const DirectoryUpdate &update)
{
    engine.replaceRoutes(*update.routes, Start);
    engine.targets().replaceAll(update.targets, update.revision, Start);
    engine.markCurrentAt(Start);
}

static PacketSummary packetOf(std::uint32_t flow)
{
    PacketSummary packet;
    packet.flow
        = {{{0x64400000 + (flow >> 14)}, static_cast<std::uint16_t>(flow & 0x3fff)}, {{0xc6120000}, 443}};
    return packet;
}

/// A packet whose flow is not remembered: found by its token.
static void steerByToken(benchmark::State &state)
{
    SteeringEngine engine({});
    load(engine, directoryOf(static_cast<std::uint32_t>(state.range(0))));
    const SteeringToken token = steeringToken(targetOf(0, 1).identity.key(), 2);
    std::uint32_t flow = 0;
    for (auto _ : state) {
        PacketSummary packet = packetOf(flow++ % 20000);
        packet.token = token;
        packet.sequence = flow;
        benchmark::DoNotOptimize(engine.decideSummary(packet, Start));
    }
}
BENCHMARK(steerByToken)->Arg(18)->Arg(150)->Arg(4100);

/// A new flow.
static void placeByLoad(benchmark::State &state)
{
    SteeringEngine engine({});
    load(engine, directoryOf(static_cast<std::uint32_t>(state.range(0))));
    std::uint32_t flow = 0;
    for (auto _ : state) {
        PacketSummary packet = packetOf(flow++);
        packet.isOpening = true;
        benchmark::DoNotOptimize(engine.decideSummary(packet, Start));
    }
}
BENCHMARK(placeByLoad)->Arg(18)->Arg(150)->Arg(4100);

/// One pass over targets and flows, as each tick makes it.
static void sweepSteering(benchmark::State &state)
{
    SteeringEngine engine({});
    load(engine, directoryOf(4100));
    for (std::uint32_t flow = 0; flow < state.range(0); ++flow) {
        PacketSummary packet = packetOf(flow);
        packet.isOpening = true;
        engine.decideSummary(packet, Start);
    }
    TimePoint now = Start;
    for (auto _ : state) {
        now += std::chrono::microseconds(1);
        benchmark::DoNotOptimize(engine.sweep(now, 200));
    }
}
BENCHMARK(sweepSteering)->Arg(2000)->Arg(22000);

/// From what a peer hands over to a directory that answers: the start of an instance.
static void loadImage(benchmark::State &state)
{
    FetchResponse response;
    response.update = directoryOf(static_cast<std::uint32_t>(state.range(0)));
    const std::string bytes = encodeImage(response);
    for (auto _ : state) {
        withFailure(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(decoded, decodeImage(bytes, "peer"));
                SteeringEngine engine({});
                load(engine, decoded.update);
                benchmark::DoNotOptimize(engine.targets().targetsOfService("s0"));
                return {};
            },
            [&](const Failure &failure) { state.SkipWithError(describe(failure).c_str()); });
    }
    state.counters["wire bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(loadImage)->Arg(18)->Arg(150)->Arg(4100);

/// The heartbeat of a numbered member of six data centres.
static FleetMessage heartbeatOf(std::uint32_t number, std::uint64_t heartbeat)
{
    FleetMessage message;
    DigestEntry entry;
    entry.control = {{number + 2}, 8166};
    entry.instance = format(entry.control);
    entry.dataCentre = "dc-" + std::to_string(number % 6);
    entry.incarnation = 1;
    entry.heartbeat = heartbeat;
    message.sender = entry.instance;
    message.digest.entries.push_back(entry);
    message.digest.peerControl = entry.control;
    return message;
}

/// A fleet's member that hears a reader's word and decides whether to read itself.
static void hearReader(benchmark::State &state)
{
    SteeringEngine engine({});
    FleetSettings settings;
    settings.control = {{1}, 8166};
    settings.dataCentre = "dc-0";
    FleetControl control(settings, engine, Start);
    FetchResponse response;
    response.update = directoryOf(150);
    control.onFetchResponse(response, Start);
    const auto messageOf = [](std::uint32_t number, std::uint64_t heartbeat) {
        FleetMessage message = heartbeatOf(number, heartbeat);
        message.digest.entries.front().phase = MemberPhase::Ready;
        message.status = {true, 151, 1, {}, true, 151, 151, {}};
        return message;
    };
    for (std::uint32_t number = 0; number < state.range(0); ++number) {
        control.onMessage(messageOf(number, 1), Start);
    }
    std::uint64_t heartbeat = 1;
    std::size_t size = 0;
    for (auto _ : state) {
        const FleetMessage message = messageOf(0, ++heartbeat);
        size = encodeNews(message).size();
        benchmark::DoNotOptimize(control.onMessage(message, Start));
        benchmark::DoNotOptimize(control.nextRead(Start));
    }
    state.counters["wire bytes"] = static_cast<double>(size);
}
BENCHMARK(hearReader)->Arg(9)->Arg(74)->Arg(499);

/// One beat of the gossip with its messages encoded.
static void beatFleet(benchmark::State &state)
{
    SteeringEngine engine({});
    FleetSettings settings;
    settings.control = {{1}, 8166};
    settings.dataCentre = "dc-0";
    FleetControl control(settings, engine, Start);
    FetchResponse response;
    response.update = directoryOf(150);
    control.onFetchResponse(response, Start);
    TimePoint now = Start + std::chrono::seconds(10);
    std::uint64_t heartbeat = 0;
    std::size_t bytes = 0;
    for (auto _ : state) {
        state.PauseTiming();
        ++heartbeat;
        now += std::chrono::seconds(1);
        for (std::uint32_t number = 0; number < state.range(0); ++number) {
            control.onMessage(heartbeatOf(number, heartbeat), now);
        }
        state.ResumeTiming();
        for (const OutgoingFleetMessage &outgoing : control.tick(now).messages) {
            bytes += encodeNews(outgoing.message).size();
        }
    }
    state.counters["bytes/beat"] = static_cast<double>(bytes) / static_cast<double>(heartbeat);
}
BENCHMARK(beatFleet)->Arg(9)->Arg(74)->Arg(499)->Iterations(200);

} // namespace jasminequay
