#include "commandline.h"
#include "jasminequay/Node/steeringnode.h"
#include "jasminequay/Support/linelog.h"
#include "platform/attachment.h"

#include <iostream>

#include <unistd.h>

namespace jasminequay
{

static Severity leastSeverity(const std::string &level)
{
    if (level == "info") {
        return Severity::Info;
    }
    return level == "warning" ? Severity::Warning : Severity::Error;
}

static Result<ExitCode> steer(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readFile(path));
    const ParsedSteeringInstanceSettings parsed = parseSteeringInstanceSettings(text);
    if (printMistakes(parsed.mistakes, path)) {
        return ExitCode::Mistakes;
    }
    LineLog log(STDOUT_FILENO, leastSeverity(parsed.settings.logLevel), {});
    WallClock clock(parsed.settings.clockOffset);
    setLogSink([&log, &clock](Severity severity, std::string_view event, const std::string &pairs) {
        const TimePoint now = bootTime();
        log.take(severity, event, pairs, now, clock.milliseconds());
        log.flush(now, clock.milliseconds());
    });
    SteeringNode<platform::Adapter> node(parsed.settings, SettingsWatch(path, text), log, clock);
    BOOST_LEAF_CHECK(node.run());
    setLogSink({});
    return ExitCode::Success;
}

ExitCode runSteer(int argumentCount, char **arguments)
{
    cxxopts::Options options("jasminequay steer",
        "Runs one instance that steers by token until SIGTERM; a second one ends it at once");
    options.add_options()("settings", "the settings of the instance; the platform tells them elsewhere",
        cxxopts::value<std::string>()->default_value(platform::settingsPath()));
    ExitCode exit = ExitCode::Success;
    const std::optional<cxxopts::ParseResult> given
        = parseOptions(options, argumentCount, arguments, "jasminequay steer --settings node.yaml", exit);
    if (!given) {
        return exit;
    }
    const std::string path = (*given)["settings"].as<std::string>();
    if (path.empty()) {
        return usage("steer needs --settings where the platform gives no path");
    }
    return withFailure([&]() { return steer(path); },
        [](const Failure &failure) {
            std::cerr << "jasminequay: " << describe(failure) << '\n';
            return ExitCode::Failure;
        });
}

} // namespace jasminequay
