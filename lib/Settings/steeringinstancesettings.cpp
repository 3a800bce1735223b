#include "jasminequay/Settings/steeringinstancesettings.h"

#include "jasminequay/Settings/settingparsers.h"
#include "jasminequay/Settings/yamldocument.h"
#include "jasminequay/Settings/yamlmapping.h"

namespace jasminequay
{

constexpr std::size_t MaximumSteeringSettingsSize = 1 << 16;

/// The key that only settings of this kind have.
constexpr std::string_view DistinctKey = "packets";

static std::optional<std::uint64_t> parseRate(std::string_view text)
{
    const std::optional<double> rate = parseReal(text);
    return rate && *rate >= 1 && *rate <= 1e9 ? std::optional<std::uint64_t>(*rate) : std::nullopt;
}

template <std::uint32_t Least, std::uint32_t Most>
static std::optional<double> parseRealWithin(std::string_view text)
{
    const std::optional<double> value = parseReal(text);
    return value && *value >= Least && *value <= Most ? value : std::nullopt;
}

/// A higher share would add more load to targets than lost datagrams can explain.
constexpr double MaximumSecondTryShare = 0.2;

static std::optional<double> parseSecondTryShare(std::string_view text)
{
    const std::optional<double> share = parseReal(text);
    return share && *share >= 0 && *share <= MaximumSecondTryShare ? share : std::nullopt;
}

static void readSeeds(YamlMapping &mapping, SteeringInstanceSettings &settings, Mistakes &mistakes)
{
    const YAML::Node list = mapping.take("seeds");
    if (!list.IsDefined() || list.IsNull()) {
        return;
    }
    if (!list.IsSequence()) {
        addMistake(mistakes, list, "seeds", "a sequence of addresses is expected here");
        return;
    }
    for (const YAML::Node &node : list) {
        const std::optional<Endpoint> seed = node.IsScalar() ? parseEndpoint(node.Scalar()) : std::nullopt;
        if (seed) {
            settings.seeds.push_back(*seed);
        } else {
            addMistake(mistakes, node, "seeds", "a seed is not an address with a port");
        }
    }
}

/// Reads the list of features. Names without a meaning here are ignored, as the deployment lists features of
/// its whole platform.
static void readFeatures(YamlMapping &mapping, SteeringInstanceSettings &settings, Mistakes &mistakes)
{
    const YAML::Node list = mapping.take("features");
    if (!list.IsDefined() || list.IsNull()) {
        return;
    }
    if (!list.IsSequence()) {
        addMistake(mistakes, list, "features", "a sequence of names is expected here");
        return;
    }
    for (const YAML::Node &node : list) {
        if (node.IsScalar()) {
            enableFeature(settings.features, node.Scalar());
        } else {
            addMistake(mistakes, node, "features", "a feature is not a name");
        }
    }
}

static void readAddresses(YamlMapping &mapping, SteeringInstanceSettings &settings)
{
    constexpr std::string_view Kind = "an address with a port";
    mapping.takeParsed("packets", Kind, true, parseEndpoint, settings.packets);
    mapping.takeParsed("readiness", Kind, true, parseEndpoint, settings.readiness);
    mapping.takeParsed("control", Kind, true, parseEndpoint, settings.control);
    mapping.takeParsed("store", Kind, true, parseEndpoint, settings.store);
    mapping.takeParsed("peer-port", "a port from 1 to 65535", true, parseWithin<1, 65535>, settings.peerPort);
    mapping.takeParsed("bind-address", "an IPv4 address", false, parseIpv4Address, settings.bindAddress);
}

static void readTimes(YamlMapping &mapping, SteeringInstanceSettings &settings)
{
    constexpr std::string_view Kind = "a duration with a unit (s, ms)";
    mapping.takeParsed("settings-bound", Kind, false, parseFractionalDuration, settings.settingsBound);
    mapping.takeParsed("grace-period", Kind, false, parseFractionalDuration, settings.gracePeriod);
    mapping.takeParsed("flow-lifetime", Kind, false, parseFractionalDuration, settings.flowLifetime);
    mapping.takeParsed("clock-offset", "a duration with a unit (s, ms) that may be negative", false,
        parseSignedDuration, settings.clockOffset);
}

static void readInstance(const YAML::Node &root, ParsedSteeringInstanceSettings &parsed)
{
    SteeringInstanceSettings &settings = parsed.settings;
    YamlMapping mapping(root, {}, parsed.mistakes);
    mapping.takeParsed("instance", "a name", true, parseName, settings.instance);
    mapping.takeParsed("data-centre", "a name", true, parseName, settings.dataCentre);
    readAddresses(mapping, settings);
    readSeeds(mapping, settings, parsed.mistakes);
    readFeatures(mapping, settings, parsed.mistakes);
    mapping.takeParsed("first-start", "true or false", false, parseTruth, settings.isFirstStart);
    readTimes(mapping, settings);
    mapping.takeParsed("store-reads-per-second", "a rate of at least 1 a second", false, parseRate,
        settings.storeReadsPerSecond);
    mapping.takeParsed(
        "cold-factor", "a factor from 1 to 100", false, parseRealWithin<1, 100>, settings.coldFactor);
    mapping.takeParsed("cold-slack", "a number of flows from 0 to 100000", false, parseRealWithin<0, 100000>,
        settings.coldSlack);
    mapping.takeParsed("flow-memory", "a number of flows from 1024 to 16777216", false,
        parseWithin<1024, 1 << 24>, settings.flowMemory);
    mapping.takeParsed(
        "second-try-share", "a share from 0 to 0.2", false, parseSecondTryShare, settings.secondTryShare);
    mapping.takeParsed(
        "log-level", "a level (info, warning, error)", false, parseLogLevel, settings.logLevel);
    mapping.refuseRest();
}

ParsedSteeringInstanceSettings parseSteeringInstanceSettings(const std::string &text)
{
    ParsedSteeringInstanceSettings parsed;
    const std::optional<YAML::Node> root = loadDocument(text, MaximumSteeringSettingsSize, parsed.mistakes);
    if (!root) {
        return parsed;
    }
    try {
        readInstance(*root, parsed);
    } catch (const YAML::Exception &exception) {
        parsed.mistakes.push_back({0, 0, {}, "not instance settings: " + exception.msg});
    }
    return parsed;
}

bool isSteeringInstanceSettings(const std::string &text)
{
    Mistakes mistakes;
    const std::optional<YAML::Node> root = loadDocument(text, MaximumSteeringSettingsSize, mistakes);
    return root && root->IsMap() && (*root)[std::string(DistinctKey)].IsDefined();
}

} // namespace jasminequay
