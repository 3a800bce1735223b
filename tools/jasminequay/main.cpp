// Picks the subcommand.
#include "commandline.h"

#include <array>
#include <iostream>
#include <string_view>

namespace
{

struct Subcommand {
    std::string_view name;
    std::string_view summary;
    std::string_view example;
    jasminequay::ExitCode (*run)(int argumentCount, char **arguments);
};

constexpr auto Subcommands = std::to_array<Subcommand>({
#ifdef JASMINEQUAY_OWN_FABRIC
    {"serve", "run one instance", "jasminequay serve --settings instance.yaml", jasminequay::runServe},
    {"make-keys", "make keys for the settings of an instance", "jasminequay make-keys",
        jasminequay::runMakeKeys},
#endif
    {"steer", "run one instance that steers by token", "jasminequay steer --settings node.yaml",
        jasminequay::runSteer},
    {"check", "check a tree or instance settings", "jasminequay check --tree tree.yaml",
        jasminequay::runCheck},
    {"explain", "say where a flow would go, and why",
        "jasminequay explain --tree tree.yaml --flow 10.9.0.1:4000,10.1.0.1:443,tcp",
        jasminequay::runExplain},
    {"report", "report burn or traffic from connection records",
        "jasminequay report burn --tree tree.yaml records/*.log", jasminequay::runReport},
    {"experiment", "play loads against a model of targets", "jasminequay experiment docs/examples/surge.yaml",
        jasminequay::runExperimentCommand},
});

} // namespace

static void printHelp()
{
    std::cout << "jasminequay: a layer-4 load balancer whose instances share nothing in writing\n\nUsage:\n";
    for (const Subcommand &subcommand : Subcommands) {
        std::cout << "  jasminequay " << subcommand.name << " - " << subcommand.summary << "\n      "
                  << subcommand.example << '\n';
    }
    std::cout << "  jasminequay --version\n  jasminequay SUBCOMMAND --help\n";
}

int main(int argc, char **argv)
{
    const std::string_view first = argc > 1 ? argv[1] : "";
    if (first == "--help") {
        printHelp();
        return 0;
    }
    if (first == "--version") {
        std::cout << "jasminequay " << JASMINEQUAY_VERSION << '\n';
        return 0;
    }
    for (const Subcommand &subcommand : Subcommands) {
        if (subcommand.name == first) {
            return static_cast<int>(subcommand.run(argc - 1, argv + 1));
        }
    }
    const std::string message
        = first.empty() ? "a subcommand is missing" : "unknown subcommand '" + std::string(first) + "'";
    return static_cast<int>(jasminequay::usage(message));
}
