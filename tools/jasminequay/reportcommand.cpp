#include "commandline.h"
#include "jasminequay/Record/burnreport.h"
#include "jasminequay/Record/steeringreport.h"
#include "jasminequay/Settings/treeparser.h"
#include "jasminequay/Support/units.h"

#include <chrono>
#include <iostream>

namespace jasminequay
{

static std::int64_t reportMoment(const cxxopts::ParseResult &given)
{
    if (given.count("at") > 0) {
        return given["at"].as<std::int64_t>();
    }
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

static Result<ExitCode> reportBurn(const cxxopts::ParseResult &given, const RecordReader &reader)
{
    Configuration configuration;
    if (given.count("tree") > 0) {
        const std::string path = given["tree"].as<std::string>();
        BOOST_LEAF_AUTO(text, readFile(path));
        ParsedTree tree = parseTree(text);
        if (printMistakes(tree.mistakes, path)) {
            return ExitCode::Mistakes;
        }
        configuration = std::move(tree.configuration);
    }
    const std::vector<ServiceBurn> burns = computeBurn(reader.records(), configuration, reportMoment(given));
    if (given.count("json") > 0) {
        std::cout << burnJson(burns, reader);
    } else if (given.count("svg") > 0) {
        std::cout << burnSvg(burns, reader);
    } else {
        std::cout << burnTable(burns, reader);
    }
    return ExitCode::Success;
}

static Result<ExitCode> reportSteering(const cxxopts::ParseResult &given)
{
    SteeringReport report;
    for (const std::string &file : given["files"].as<std::vector<std::string>>()) {
        BOOST_LEAF_CHECK(report.readFile(file));
    }
    if (given.count("json") > 0) {
        std::cout << report.json();
    } else if (given.count("svg") > 0) {
        std::cout << report.svg();
    } else {
        std::cout << report.table();
    }
    return ExitCode::Success;
}

static Result<ExitCode> report(const std::string &kind, const cxxopts::ParseResult &given)
{
    if (kind == "steering") {
        return reportSteering(given);
    }
    RecordReader reader;
    for (const std::string &file : given["files"].as<std::vector<std::string>>()) {
        BOOST_LEAF_CHECK(reader.readFile(file));
    }
    if (kind == "burn") {
        return reportBurn(given, reader);
    }
    std::cout << trafficTable(sumTraffic(reader.records()), reader);
    return ExitCode::Success;
}

ExitCode runReport(int argumentCount, char **arguments)
{
    cxxopts::Options options(
        "jasminequay report", "Reports burn or traffic from connection records, or steering from logs");
    options.add_options()("kind", "burn, traffic or steering", cxxopts::value<std::string>())("files",
        "connection records, or logs of instances that steer by token",
        cxxopts::value<std::vector<std::string>>())(
        "tree", "the tree that holds the objectives", cxxopts::value<std::string>())("json", "print JSON")(
        "svg", "draw a plot")("at", "the moment, in milliseconds since 1970", cxxopts::value<std::int64_t>());
    options.parse_positional({"kind", "files"});
    options.positional_help("burn|traffic|steering FILE...");
    ExitCode exit = ExitCode::Success;
    const std::optional<cxxopts::ParseResult> given = parseOptions(
        options, argumentCount, arguments, "jasminequay report burn --tree tree.yaml records/*.log", exit);
    if (!given) {
        return exit;
    }
    const std::string kind = given->count("kind") > 0 ? (*given)["kind"].as<std::string>() : std::string();
    if (kind != "burn" && kind != "traffic" && kind != "steering") {
        return usage("report needs burn, traffic or steering");
    }
    if (given->count("files") == 0) {
        return usage("report needs at least one file");
    }
    return withFailure([&]() { return report(kind, *given); },
        [](const Failure &failure) {
            std::cerr << "jasminequay: " << describe(failure) << '\n';
            return ExitCode::Failure;
        });
}

} // namespace jasminequay
