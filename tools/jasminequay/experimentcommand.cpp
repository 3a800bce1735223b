#include "commandline.h"
#include "jasminequay/Model/experiment.h"

#include <iostream>

namespace jasminequay
{

static Result<ExitCode> experiment(const cxxopts::ParseResult &given)
{
    const std::string path = given["file"].as<std::string>();
    BOOST_LEAF_AUTO(text, readFile(path));
    const ParsedExperiment parsed = parseExperiment(text);
    if (printMistakes(parsed.mistakes, path)) {
        return ExitCode::Mistakes;
    }
    const std::vector<ExperimentRow> rows = runExperiment(parsed.experiment);
    if (given.count("json") > 0) {
        std::cout << experimentJson(rows);
    } else if (given.count("svg") > 0) {
        std::cout << experimentSvg(rows);
    } else {
        std::cout << experimentTable(rows);
    }
    return ExitCode::Success;
}

ExitCode runExperimentCommand(int argumentCount, char **arguments)
{
    const std::string example = "jasminequay experiment docs/examples/surge.yaml";
    cxxopts::Options options(
        "jasminequay experiment", "Plays loads against a model of targets, with the real decisions");
    options.add_options()("file", "the experiment", cxxopts::value<std::string>())("json", "print JSON")(
        "svg", "draw plots");
    options.parse_positional({"file"});
    options.positional_help("FILE.yaml");
    ExitCode exit = ExitCode::Success;
    const std::optional<cxxopts::ParseResult> given
        = parseOptions(options, argumentCount, arguments, example, exit);
    if (!given) {
        return exit;
    }
    if (given->count("file") == 0) {
        return usage("a file is missing; for example: " + example);
    }
    return withFailure([&]() { return experiment(*given); },
        [](const Failure &failure) {
            std::cerr << "jasminequay: " << describe(failure) << '\n';
            return ExitCode::Failure;
        });
}

} // namespace jasminequay
