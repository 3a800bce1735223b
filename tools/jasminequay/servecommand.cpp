#include "commandline.h"
#include "jasminequay/Node/node.h"
#include "jasminequay/Support/logevent.h"

#include <glog/logging.h>

#include <iostream>

namespace jasminequay
{

static void startLogging(const InstanceSettings &settings)
{
    google::InitGoogleLogging("jasminequay");
    FLAGS_minloglevel = settings.logLevel == "info" ? 0 : (settings.logLevel == "warning" ? 1 : 2);
    if (settings.logFile.empty()) {
        FLAGS_logtostderr = true;
        return;
    }
    FLAGS_logbuflevel = -1;
    FLAGS_timestamp_in_logfile_name = false;
    google::SetLogSymlink(google::GLOG_INFO, "");
    google::SetLogDestination(google::GLOG_INFO, settings.logFile.c_str());
    google::SetLogDestination(google::GLOG_WARNING, "");
    google::SetLogDestination(google::GLOG_ERROR, "");
}

static ExitCode exitCodeOf(NodeExitReason end)
{
    switch (end) {
    case NodeExitReason::Drained:
        return ExitCode::Success;
    case NodeExitReason::Deadline:
        return ExitCode::Deadline;
    case NodeExitReason::Interrupted:
        return ExitCode::Interrupted;
    }
    return ExitCode::Failure;
}

static Result<ExitCode> serve(const std::string &path, const std::string &treeFile)
{
    BOOST_LEAF_AUTO(text, readFile(path));
    const ParsedInstanceSettings parsed = parseInstanceSettings(text);
    if (printMistakes(parsed.mistakes, path)) {
        return ExitCode::Mistakes;
    }
    startLogging(parsed.settings);
    BOOST_LEAF_AUTO(end, runNode(parsed.settings, treeFile));
    return exitCodeOf(end);
}

ExitCode runServe(int argumentCount, char **arguments)
{
    cxxopts::Options options(
        "jasminequay serve", "Runs one instance until SIGTERM; a second one ends it at once");
    options.add_options()("settings", "the settings of the instance", cxxopts::value<std::string>())("tree",
        "a tree of services that takes the platform's place",
        cxxopts::value<std::string>()->default_value(""));
    ExitCode exit = ExitCode::Success;
    const std::optional<cxxopts::ParseResult> given
        = parseOptions(options, argumentCount, arguments, "jasminequay serve --settings instance.yaml", exit);
    if (!given) {
        return exit;
    }
    if (given->count("settings") == 0) {
        return usage("serve needs --settings");
    }
    const std::string path = (*given)["settings"].as<std::string>();
    const std::string treeFile = (*given)["tree"].as<std::string>();
    return withFailure([&]() { return serve(path, treeFile); },
        [](const Failure &failure) {
            LogEvent(Severity::Error, "instance-failed").with("reason", describe(failure));
            std::cerr << "jasminequay: " << describe(failure) << '\n';
            return ExitCode::Failure;
        });
}

} // namespace jasminequay
