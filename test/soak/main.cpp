// Plays one seed of the fault soak.
#include "soakrun.h"

#include <cxxopts.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <cstdio>
#include <filesystem>
#include <iostream>
#include <optional>

using namespace jasminequay;
using namespace jasminequay::soak;

/// Takes a network of loopback addresses that no other run uses; the listener holds it.
static std::optional<std::uint8_t> takeNetwork(boost::asio::ip::tcp::acceptor &holder)
{
    constexpr std::uint32_t First = 10;
    constexpr std::uint32_t Last = 250;
    constexpr std::uint16_t HolderPort = 7799;
    for (std::uint32_t network = First; network <= Last; ++network) {
        const boost::asio::ip::address_v4 address((127U << 24) | (network << 16) | 0xff01U);
        boost::system::error_code error;
        holder.open(boost::asio::ip::tcp::v4());
        holder.bind({address, HolderPort}, error);
        if (!error) {
            holder.listen();
            return static_cast<std::uint8_t>(network);
        }
        holder.close();
    }
    return std::nullopt;
}

int main(int argc, char **argv)
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    cxxopts::Options options(
        "soak", "Plays the faults of one seed against real instances and checks the promises");
    options.add_options()("program", "the jasminequay binary", cxxopts::value<std::string>())("folder",
        "where settings and logs go",
        cxxopts::value<std::string>())("seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "instances", "", cxxopts::value<std::size_t>()->default_value("6"))("seconds", "",
        cxxopts::value<unsigned>()->default_value("30"))("plan", "print the faults, play nothing")(
        "drills", "evacuate data centres and restore the store from a copy")(
        "flows", "new flows a second", cxxopts::value<double>()->default_value("60"));
    try {
        const cxxopts::ParseResult given = options.parse(argc, argv);
        boost::asio::io_context holderContext;
        boost::asio::ip::tcp::acceptor holder(holderContext);
        RunOptions run;
        run.seed = given["seed"].as<std::uint64_t>();
        run.instances = given["instances"].as<std::size_t>();
        run.duration = std::chrono::seconds(given["seconds"].as<unsigned>());
        run.flowsPerSecond = given["flows"].as<double>();
        run.hasDrills = given.count("drills") > 0;
        if (given.count("plan") > 0) {
            SoakRun::printPlan(run);
            return 0;
        }
        run.program = given["program"].as<std::string>();
        run.folder = given["folder"].as<std::string>();
        const std::optional<std::uint8_t> network = takeNetwork(holder);
        if (!network) {
            std::cerr << "soak: all loopback networks are taken\n";
            return 2;
        }
        run.network = *network;
        std::filesystem::create_directories(run.folder);
        return SoakRun(run).play() ? 0 : 1;
    } catch (const std::exception &exception) {
        std::cerr << "soak: " << exception.what() << '\n';
        return 2;
    }
}
