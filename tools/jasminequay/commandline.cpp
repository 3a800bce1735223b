#include "commandline.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace jasminequay
{

std::optional<cxxopts::ParseResult> parseOptions(cxxopts::Options &options, int argumentCount,
    char **arguments, const std::string &example, ExitCode &exit)
{
    options.add_options()("help", "print this help");
    try {
        cxxopts::ParseResult result = options.parse(argumentCount, arguments);
        if (result.count("help") > 0) {
            std::cout << options.help() << "\nExample:\n  " << example << '\n';
            exit = ExitCode::Success;
            return std::nullopt;
        }
        return result;
    } catch (const cxxopts::exceptions::exception &exception) {
        exit = usage(exception.what());
        return std::nullopt;
    }
}

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return fail(Step::ReadSettings, path, systemMessage());
    }
    return std::string{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

bool printMistakes(const Mistakes &mistakes, const std::string &file)
{
    for (const Mistake &mistake : mistakes) {
        std::cerr << describe(mistake, file) << '\n';
    }
    return !mistakes.empty();
}

ExitCode usage(const std::string &message)
{
    std::cerr << "jasminequay: " << message << "; see jasminequay --help\n";
    return ExitCode::Usage;
}

} // namespace jasminequay
