#include "commandline.h"
#include "explainroute.h"
#include "explainsteering.h"
#include "jasminequay/Flow/flowname.h"
#include "jasminequay/Placement/cataloguebuilder.h"
#include "jasminequay/Placement/rendezvous.h"
#include "jasminequay/Placement/selection.h"
#include "jasminequay/Settings/settingkey.h"
#include "jasminequay/Settings/treeparser.h"

#include <algorithm>
#include <iostream>

namespace jasminequay
{

/// Parses "SRC:PORT,DST:PORT,tcp|udp".
static std::optional<FlowTuple> parseFlow(const std::string &text)
{
    const std::size_t first = text.find(',');
    const std::size_t second = first == std::string::npos ? first : text.find(',', first + 1);
    if (second == std::string::npos) {
        return std::nullopt;
    }
    const std::optional<Endpoint> caller = parseEndpoint(text.substr(0, first));
    const std::optional<Endpoint> service = parseEndpoint(text.substr(first + 1, second - first - 1));
    const std::optional<Protocol> protocol = protocolNamed(text.substr(second + 1));
    if (!caller || !service || !protocol) {
        return std::nullopt;
    }
    return FlowTuple{*caller, *service, *protocol};
}

static void printSettings(const ServicePolicy &policy)
{
    std::cout << "settings in force:\n";
    for (const SettingKey &key : settingKeys()) {
        const Origin &origin = policy.origin(key.key);
        std::cout << "  " << key.name << ": " << key.print(policy) << " (from " << levelName(origin.level);
        if (origin.line > 0) {
            std::cout << ", line " << origin.line;
        }
        std::cout << ")\n";
    }
}

static std::string whyNot(const TargetSettings &target)
{
    switch (target.state) {
    case TargetState::Draining:
        return "takes no new flow: draining";
    case TargetState::Cold:
        return "takes a growing share: cold";
    case TargetState::Serving:
        break;
    }
    return "takes new flows up to " + std::to_string(target.connectionLimit);
}

static void printTargets(const ServiceTable &table, std::uint64_t flowHash)
{
    std::vector<const TargetEntry *> order;
    for (const TargetEntry &target : table.targets) {
        order.push_back(&target);
    }
    const auto score = [flowHash](const TargetEntry *target) {
        return rendezvousScore(flowHash, target->hash, target->settings.weight);
    };
    std::sort(order.begin(), order.end(),
        [&](const TargetEntry *left, const TargetEntry *right) { return score(left) > score(right); });
    std::cout << "targets in the order of this flow (placement "
              << placementPolicyName(table.policy.placement) << "):\n";
    for (const TargetEntry *const target : order) {
        std::cout << "  " << format(target->settings.address) << " weight " << target->settings.weight << ", "
                  << whyNot(target->settings) << '\n';
    }
    const TargetEntry *const choice = table.policy.repeatable ? selectTarget(table, flowHash, TimePoint{})
                                                              : table.preferredTarget(flowHash);
    std::cout << "with no other flow it goes to "
              << (choice == nullptr ? std::string("no target: it is refused")
                                    : format(choice->settings.address))
              << '\n';
    if (!table.policy.repeatable) {
        std::cout << "its requests may not run twice: the target depends on the settings alone\n";
    }
}

static ExitCode explain(const Configuration &configuration, const FlowTuple &flow)
{
    const auto holds = [&](const ServiceSettings &service) {
        return service.address == flow.service && service.protocol == flow.protocol;
    };
    const auto found = std::find_if(configuration.services.begin(), configuration.services.end(), holds);
    if (found == configuration.services.end()) {
        std::cout << "no service holds " << format(flow.service) << "/" << protocolName(flow.protocol)
                  << ": packets to it are dropped and counted as unknown-service\n";
        return ExitCode::Success;
    }
    std::cout << "service: " << found->name << " in data centre " << found->dataCentre << " of group "
              << configuration.group << ", settings version " << configuration.version << '\n';
    printSettings(found->policy);
    CatalogueBuilder builder(found->dataCentre);
    const std::shared_ptr<const Catalogue> catalogue = builder.apply(configuration, TimePoint{});
    printTargets(*catalogue->serviceAt(flow.service, flow.protocol), flow.hash());
    return ExitCode::Success;
}

static Result<ExitCode> explainSteeringFlow(const cxxopts::ParseResult &given, const FlowTuple &flow)
{
    const SteeredFlow steered{flow.caller, flow.service};
    const auto token = given["token"].as<std::uint32_t>();
    if (given.count("image") > 0) {
        const std::string path = given["image"].as<std::string>();
        BOOST_LEAF_AUTO(encodedResponse, readFile(path));
        return explainSteering(encodedResponse, path, steered, token);
    }
    const std::string text = given["instance"].as<std::string>();
    const std::optional<Endpoint> instance = parseEndpoint(text);
    if (!instance) {
        return usage("'" + text + "' is not an address with a port");
    }
    BOOST_LEAF_AUTO(encodedResponse, fetchDirectory(*instance));
    return explainSteering(encodedResponse, text, steered, token);
}

static ExitCode printFailure(const Failure &failure)
{
    std::cerr << "jasminequay: " << describe(failure) << '\n';
    return ExitCode::Failure;
}

static ExitCode explainInstanceRoute(const cxxopts::ParseResult &given)
{
    if (given.count("instance") == 0
        || given.count("flow") + given.count("image") + given.count("tree") > 0) {
        return usage("explain --route needs --instance, and neither --flow, --image nor --tree");
    }
    const std::string text = given["instance"].as<std::string>();
    const std::optional<Endpoint> instance = parseEndpoint(text);
    if (!instance) {
        return usage("'" + text + "' is not an address with a port");
    }
    const std::string route = given["route"].as<std::string>();
    return withFailure(
        [&]() { return explainRoute(*instance, route, given.count("json") > 0); }, printFailure);
}

ExitCode runExplain(int argumentCount, char **arguments)
{
    cxxopts::Options options(
        "jasminequay explain", "Says which service, settings and targets a flow gets, and why");
    options.add_options()("tree", "the tree of services", cxxopts::value<std::string>())(
        "flow", "SRC:PORT,DST:PORT,tcp|udp", cxxopts::value<std::vector<std::string>>())("instance",
        "the control address of a running instance that steers by token", cxxopts::value<std::string>())(
        "image", "what such an instance knows, fetched from its /directory", cxxopts::value<std::string>())(
        "token", "the token of a packet", cxxopts::value<std::uint32_t>()->default_value("0"))("route",
        "the name or address of a route: where its new flows would go at the instance now",
        cxxopts::value<std::string>())("json", "print the explanation of a route as JSON");
    ExitCode exit = ExitCode::Success;
    const std::optional<cxxopts::ParseResult> given = parseOptions(options, argumentCount, arguments,
        "jasminequay explain --tree tree.yaml --flow 10.9.0.1:4000,10.1.0.1:443,tcp", exit);
    if (!given) {
        return exit;
    }
    if (given->count("route") > 0) {
        return explainInstanceRoute(*given);
    }
    if (given->count("json") > 0) {
        return usage("explain --json needs --route");
    }
    const bool isSteering = given->count("instance") + given->count("image") > 0;
    if ((given->count("tree") == 0 && !isSteering) || given->count("flow") == 0) {
        return usage("explain needs --tree, --instance or --image, and --flow, or --instance and --route");
    }
    // The option library splits values at commas.
    std::string text;
    for (const std::string &part : (*given)["flow"].as<std::vector<std::string>>()) {
        text += (text.empty() ? "" : ",") + part;
    }
    const std::optional<FlowTuple> flow = parseFlow(text);
    if (!flow) {
        return usage("'" + text + "' is not a flow of the form SRC:PORT,DST:PORT,tcp|udp");
    }
    return withFailure(
        [&]() -> Result<ExitCode> {
            if (isSteering) {
                return explainSteeringFlow(*given, *flow);
            }
            const std::string path = (*given)["tree"].as<std::string>();
            BOOST_LEAF_AUTO(content, readFile(path));
            const ParsedTree tree = parseTree(content);
            return printMistakes(tree.mistakes, path) ? ExitCode::Mistakes
                                                      : explain(tree.configuration, *flow);
        },
        printFailure);
}

} // namespace jasminequay
