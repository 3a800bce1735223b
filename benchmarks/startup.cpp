// From the start of the real program to the first packet that it sends on, at 500 routes and 150 targets: how
// long it takes, and the processor time of the process. Usage: startup PROGRAM
#include "datagramsocket.h"
#include "fakestore.h"
#include "soakinstance.h"
#include "soakpacket.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <functional>

using namespace jasminequay;
using namespace jasminequay::soak;
namespace json = boost::json;

constexpr unsigned Routes = 500;
constexpr unsigned Targets = 150;
constexpr unsigned Runs = 15;
constexpr std::uint16_t TargetPort = 18080;
constexpr std::uint16_t PacketPort = 18172;
constexpr Endpoint FirstRoute{{0xc6120001}, 443};

static void publish(platform::FakeStore &store)
{
    json::array routes;
    for (unsigned route = 0; route < Routes; ++route) {
        const Ipv4Address address{FirstRoute.address.value + route};
        routes.push_back(json::object{{"name", "route-" + std::to_string(route)}, {"host", format(address)},
            {"prefix", "/443/"}, {"type", "idempotent"}, {"service", "desk"}});
    }
    store.put("op/config",
        json::serialize(json::object{{"version", 1}, {"routes", routes}, {"services", json::array()},
            {"limits", json::object{{"idleTimeoutMs", 15000}}}}));
    for (unsigned target = 0; target < Targets; ++target) {
        const std::string address
            = "127.9.0." + std::to_string(target + 1) + ":" + std::to_string(TargetPort);
        store.put("servers/i-" + std::to_string(1000 + target),
            json::serialize(json::object{{"service", "desk"}, {"addr", address}, {"zone", "z1"},
                {"concurrency", 2}, {"state", "ready"}, {"warmLeftMs", 0}, {"seq", 1}, {"born", 1000}}));
    }
    store.keepForStaleReads();
}

struct Start {
    double elapsed = 0; ///< In milliseconds, as the processor time.
    double processorTime = 0;
};

static double milliseconds(Duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

/// Starts the program and sends it opening packets until one comes out at a target.
static Start measure(const InstancePlace &place)
{
    boost::asio::io_context context;
    platform::FakeStore store(context);
    store.pageSize = Routes;
    publish(store);
    InstancePlace own = place;
    own.store = store.address();
    bool hasArrived = false;
    // One socket takes what is meant for any target.
    const DatagramSocket targets(
        context, Endpoint{{0}, TargetPort}, [&](std::string_view, Endpoint) { hasArrived = true; });
    DatagramSocket caller(context, Endpoint{{0x7f090101}, PacketPort}, [](std::string_view, Endpoint) {});
    SoakInstance instance(own);
    const auto startedAt = std::chrono::steady_clock::now();
    instance.start(false);
    std::uint16_t port = 1024;
    while (!hasArrived) {
        SoakPacket opening;
        opening.source = {{0x7f090101}, ++port};
        opening.destination = FirstRoute;
        opening.flags = FlagOpening;
        caller.send(encodePacket(opening), own.packets);
        context.run_for(std::chrono::milliseconds(1));
    }
    return {
        milliseconds(std::chrono::steady_clock::now() - startedAt), milliseconds(instance.processorTime())};
}

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::fprintf(stderr, "startup: usage: startup PROGRAM\n");
        return 2;
    }
    InstancePlace place;
    place.program = argv[1];
    place.folder = std::filesystem::temp_directory_path().string();
    place.name = "startup";
    place.dataCentre = "z1";
    place.packets = {{0x7f090201}, PacketPort};
    place.readiness = {{0x7f090201}, 18167};
    place.control = {{0x7f090201}, 18166};
    place.peerPort = 17720;
    std::vector<double> elapsed;
    std::vector<double> processor;
    for (unsigned run = 0; run < Runs; ++run) {
        const Start start = measure(place);
        elapsed.push_back(start.elapsed);
        processor.push_back(start.processorTime);
    }
    std::sort(elapsed.begin(), elapsed.end());
    std::sort(processor.begin(), processor.end());
    std::printf("routes=%u targets=%u runs=%u elapsed_ms=%.1f (worst %.1f) processor_ms=%.1f (worst %.1f)\n",
        Routes, Targets, Runs, elapsed[Runs / 2], elapsed.back(), processor[Runs / 2], processor.back());
    return 0;
}
