#include "commandline.h"
#include "jasminequay/Settings/instancesettings.h"
#include "jasminequay/Settings/steeringinstancesettings.h"
#include "jasminequay/Settings/treeparser.h"

#include <iostream>

namespace jasminequay
{

static Result<bool> checkTree(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readFile(path));
    const ParsedTree tree = parseTree(text);
    if (printMistakes(tree.mistakes, path)) {
        return false;
    }
    std::cout << path << ": version " << tree.configuration.version << ", "
              << tree.configuration.services.size() << " services, no mistakes\n";
    return true;
}

static Result<bool> checkInstance(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readFile(path));
    if (isSteeringInstanceSettings(text)) {
        const ParsedSteeringInstanceSettings steering = parseSteeringInstanceSettings(text);
        if (printMistakes(steering.mistakes, path)) {
            return false;
        }
        std::cout << path << ": instance " << steering.settings.instance
                  << ", steers by token, no mistakes\n";
        return true;
    }
    const ParsedInstanceSettings parsed = parseInstanceSettings(text);
    if (printMistakes(parsed.mistakes, path)) {
        return false;
    }
    std::cout << path << ": instance " << parsed.settings.instance << ", no mistakes\n";
    return true;
}

ExitCode runCheck(int argumentCount, char **arguments)
{
    cxxopts::Options options(
        "jasminequay check", "Reports every mistake of a tree or of instance settings at once");
    options.add_options()("tree", "the tree of services", cxxopts::value<std::string>())(
        "settings", "the settings of an instance", cxxopts::value<std::string>());
    ExitCode exit = ExitCode::Success;
    const std::optional<cxxopts::ParseResult> given
        = parseOptions(options, argumentCount, arguments, "jasminequay check --tree tree.yaml", exit);
    if (!given) {
        return exit;
    }
    if (given->count("tree") + given->count("settings") == 0) {
        return usage("check needs --tree or --settings");
    }
    return withFailure(
        [&]() -> Result<ExitCode> {
            bool isSound = true;
            if (given->count("tree") > 0) {
                BOOST_LEAF_AUTO(isTreeSound, checkTree((*given)["tree"].as<std::string>()));
                isSound = isTreeSound;
            }
            if (given->count("settings") > 0) {
                BOOST_LEAF_AUTO(areSettingsSound, checkInstance((*given)["settings"].as<std::string>()));
                isSound = isSound && areSettingsSound;
            }
            return isSound ? ExitCode::Success : ExitCode::Mistakes;
        },
        [](const Failure &failure) {
            std::cerr << "jasminequay: " << describe(failure) << '\n';
            return ExitCode::Usage;
        });
}

} // namespace jasminequay
