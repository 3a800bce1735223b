#include "jasminequay/Settings/treeparser.h"

#include "jasminequay/Settings/settingkey.h"
#include "jasminequay/Settings/yamldocument.h"
#include "jasminequay/Settings/yamlmapping.h"
#include "jasminequay/Support/units.h"
#include "treecheck.h"

namespace jasminequay
{

// Aliases let a few lines stand for millions of nodes, so the work is bounded by count and not only by size.
constexpr std::size_t MaximumServices = 4096;
constexpr std::size_t MaximumTargets = 4096;
constexpr double MaximumWeight = 1000;

/// Reads the inherited settings that stand in a mapping into the policy.
static void readPolicy(YamlMapping &mapping, Level level, ServicePolicy &policy, Mistakes &mistakes)
{
    for (const SettingKey &key : settingKeys()) {
        const YAML::Node node = mapping.peek(key.name);
        const std::optional<std::string> text = mapping.takeText(key.name);
        if (!text) {
            continue;
        }
        if (std::string message = key.read(*text, policy); !message.empty()) {
            addMistake(mistakes, node, mapping.pathOf(key.name), std::move(message));
            continue;
        }
        policy.origins[static_cast<std::size_t>(key.key)] = {level, lineOf(node)};
    }
}

static std::optional<double> parseWeight(std::string_view text)
{
    const std::optional<double> weight = parseReal(text);
    return weight && *weight > 0 && *weight <= MaximumWeight ? weight : std::nullopt;
}

static std::optional<std::uint64_t> parsePositive(std::string_view text)
{
    const std::optional<std::uint64_t> count = parseNumber(text);
    return count && *count > 0 && *count <= 10'000'000 ? count : std::nullopt;
}

static TargetSettings readTarget(
    const YAML::Node &node, const std::string &path, const ServicePolicy &policy, Mistakes &mistakes)
{
    TargetSettings target;
    target.line = lineOf(node);
    target.connectionLimit = policy.connectionLimit;
    target.slots = policy.slots;
    YamlMapping mapping(node, path, mistakes);
    mapping.takeParsed("address", "an address with a port", true, parseEndpoint, target.address);
    mapping.takeParsed("weight", "a weight above 0 and up to 1000", false, parseWeight, target.weight);
    mapping.takeParsed(
        "connection-limit", "a whole number above zero", false, parsePositive, target.connectionLimit);
    mapping.takeParsed("slots", "a whole number above zero", false, parsePositive, target.slots);
    mapping.takeParsed("state", "a state (serving, draining, cold)", false, targetStateNamed, target.state);
    mapping.refuseRest();
    return target;
}

static void readTargets(YamlMapping &mapping, ServiceSettings &service, Mistakes &mistakes)
{
    const YAML::Node node = mapping.take("targets");
    const std::string path = mapping.pathOf("targets");
    if (!node.IsDefined() || !node.IsSequence()) {
        addMistake(mistakes, node, path, "a sequence of targets is expected here");
        return;
    }
    if (node.size() > MaximumTargets) {
        addMistake(
            mistakes, node, path, "a service has more than " + std::to_string(MaximumTargets) + " targets");
        return;
    }
    std::size_t index = 0;
    for (const YAML::Node &item : node) {
        service.targets.push_back(
            readTarget(item, path + "/" + std::to_string(index), service.policy, mistakes));
        ++index;
    }
}

static ServiceSettings readService(const YAML::Node &node, const std::string &path, const std::string &name,
    const std::string &dataCentre, const ServicePolicy &inherited, Mistakes &mistakes)
{
    ServiceSettings service;
    service.name = name;
    service.dataCentre = dataCentre;
    service.policy = inherited;
    service.line = lineOf(node);
    YamlMapping mapping(node, path, mistakes);
    mapping.takeParsed("address", "an address with a port", true, parseEndpoint, service.address);
    mapping.takeParsed("protocol", "a protocol (tcp, udp)", true, protocolNamed, service.protocol);
    readPolicy(mapping, Level::Service, service.policy, mistakes);
    readTargets(mapping, service, mistakes);
    if (service.policy.division.empty()) {
        addMistake(mistakes, node, path, "no level names the division that is charged for this service");
    }
    mapping.refuseRest();
    return service;
}

/// Reads the settings under "defaults", if any, over the inherited ones.
static ServicePolicy readDefaults(YamlMapping &mapping, Level level, ServicePolicy policy, Mistakes &mistakes)
{
    if (const YAML::Node node = mapping.take("defaults"); node.IsDefined()) {
        YamlMapping defaults(node, mapping.pathOf("defaults"), mistakes);
        readPolicy(defaults, level, policy, mistakes);
        defaults.refuseRest();
    }
    return policy;
}

static void readDataCentre(const YAML::Node &node, const std::string &path, const std::string &name,
    const ServicePolicy &inherited, ParsedTree &tree)
{
    YamlMapping mapping(node, path, tree.mistakes);
    const ServicePolicy policy = readDefaults(mapping, Level::DataCentre, inherited, tree.mistakes);
    if (const YAML::Node list = mapping.take("services"); list.IsDefined()) {
        const std::string listPath = mapping.pathOf("services");
        const YamlMapping services(list, listPath, tree.mistakes);
        for (const std::string &service : services.keys()) {
            if (tree.configuration.services.size() == MaximumServices) {
                addMistake(tree.mistakes, list, listPath,
                    "the tree has more than " + std::to_string(MaximumServices) + " services");
                return;
            }
            tree.configuration.services.push_back(readService(
                services.peek(service), services.pathOf(service), service, name, policy, tree.mistakes));
        }
    }
    mapping.refuseRest();
}

static void readGroup(const YAML::Node &root, ParsedTree &tree)
{
    YamlMapping mapping(root, {}, tree.mistakes);
    mapping.takeParsed(
        "version", "a whole number above zero", true,
        [](std::string_view text) {
            const std::optional<std::uint64_t> version = parseNumber(text);
            return version && *version > 0 ? version : std::nullopt;
        },
        tree.configuration.version);
    mapping.takeParsed(
        "group", "a name", true,
        [](std::string_view text) { return text.empty() ? std::nullopt : std::optional<std::string>(text); },
        tree.configuration.group);
    const ServicePolicy policy = readDefaults(mapping, Level::Group, ServicePolicy{}, tree.mistakes);
    if (const YAML::Node list = mapping.take("data-centres"); list.IsDefined()) {
        const YamlMapping dataCentres(list, "data-centres", tree.mistakes);
        for (const std::string &name : dataCentres.keys()) {
            readDataCentre(dataCentres.peek(name), "data-centres/" + name, name, policy, tree);
        }
    }
    mapping.refuseRest();
}

ParsedTree parseTree(const std::string &text)
{
    ParsedTree tree;
    const std::optional<YAML::Node> root = loadDocument(text, MaximumTreeSize, tree.mistakes);
    if (!root) {
        return tree;
    }
    try {
        readGroup(*root, tree);
    } catch (const YAML::Exception &exception) {
        tree.mistakes.push_back({0, 0, {}, "not a tree: " + exception.msg});
    }
    checkExclusiveAddresses(tree.configuration, tree.mistakes);
    return tree;
}

} // namespace jasminequay
