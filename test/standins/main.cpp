// Runs the fabric, the platform, the callers and the targets of the demo in one process.
#include "platformserver.h"
#include "scenario.h"

#include "jasminequay/Settings/treeparser.h"

#include <cxxopts.hpp>

#include <boost/asio/steady_timer.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>

using namespace jasminequay;
using namespace jasminequay::standin;

static Endpoint endpointOption(const cxxopts::ParseResult &options, const char *name)
{
    return parseEndpoint(options[name].as<std::string>()).value_or(Endpoint{});
}

static void printTable(const ScenarioCounts &counts)
{
    std::printf("%8s %8s %8s %8s %11s %14s %10s %10s\n", "flows", "whole", "broken", "refused", "unanswered",
        "wrong service", "run twice", "imbalance");
    std::printf("%8lu %8lu %8lu %8lu %11lu %14lu %10lu %10.2f\n", counts.flows, counts.whole, counts.broken,
        counts.refused, counts.unanswered, counts.wrongService, counts.runTwice, counts.imbalance);
}

/// Ticks the scenario until it has ended.
static void drive(boost::asio::io_context &context, Scenario &scenario, FabricLoop &fabric,
    boost::asio::steady_timer &timer)
{
    timer.expires_after(std::chrono::milliseconds(5));
    timer.async_wait([&](boost::system::error_code) {
        fabric.reload();
        scenario.tick(std::chrono::steady_clock::now());
        if (scenario.hasEnded()) {
            context.stop();
            return;
        }
        drive(context, scenario, fabric, timer);
    });
}

int main(int argc, char **argv)
{
    cxxopts::Options options("standins", "Stand-ins for the fabric, the platform, callers and targets");
    options.add_options()("caller-fabric", "", cxxopts::value<std::string>())(
        "target-fabric", "", cxxopts::value<std::string>())("platform", "", cxxopts::value<std::string>())(
        "settings", "the settings that the platform publishes", cxxopts::value<std::string>())(
        "instances", "the instances that the platform lists", cxxopts::value<std::string>())("fabric",
        "the instances that the fabric sprays over",
        cxxopts::value<std::string>())("calls", "", cxxopts::value<std::uint32_t>()->default_value("400"))(
        "interval", "milliseconds between calls", cxxopts::value<std::uint32_t>()->default_value("40"))(
        "drained", "a target that drains", cxxopts::value<std::string>()->default_value(""));
    const cxxopts::ParseResult given = options.parse(argc, argv);
    std::ifstream file(given["settings"].as<std::string>());
    const ParsedTree tree
        = parseTree({std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()});
    if (!tree.mistakes.empty()) {
        std::cerr << describe(tree.mistakes.front(), "settings") << '\n';
        return 1;
    }
    boost::asio::io_context context(1);
    FabricLoop fabric(context, endpointOption(given, "caller-fabric"), endpointOption(given, "target-fabric"),
        given["fabric"].as<std::string>(), 1);
    const PlatformServer platform(context, endpointOption(given, "platform"),
        given["settings"].as<std::string>(), given["instances"].as<std::string>());
    ScenarioPlan plan;
    plan.calls = given["calls"].as<std::uint32_t>();
    plan.arrivalInterval = std::chrono::milliseconds(given["interval"].as<std::uint32_t>());
    Scenario scenario(fabric, tree.configuration, plan);
    boost::asio::steady_timer timer(context);
    drive(context, scenario, fabric, timer);
    context.run();
    const ScenarioCounts counts = scenario.counts();
    printTable(counts);
    for (const std::string &line : scenario.breaks()) {
        std::printf("%s\n", line.c_str());
    }
    std::printf(
        "platform calls: %lu, packets with a bad checksum: %lu\n", platform.calls(), fabric.badChecksums());
    const bool isSound = counts.broken == 0 && counts.wrongService == 0 && counts.runTwice == 0
        && counts.unanswered == 0 && fabric.badChecksums() == 0;
    return isSound ? 0 : 1;
}
