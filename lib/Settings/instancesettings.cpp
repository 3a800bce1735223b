#include "jasminequay/Settings/instancesettings.h"

#include "jasminequay/Settings/settingparsers.h"
#include "jasminequay/Settings/yamldocument.h"
#include "jasminequay/Settings/yamlmapping.h"

#include <algorithm>

namespace jasminequay
{

constexpr std::size_t MaximumInstanceSettingsSize = 1 << 20;
constexpr std::size_t CurveKeySize = 40;
constexpr std::size_t DataKeySize = 64;

static std::optional<std::string> parseCurveKey(std::string_view text)
{
    return text.size() == CurveKeySize ? std::optional<std::string>(text) : std::nullopt;
}

static std::optional<std::string> parseDataKey(std::string_view text)
{
    const bool isKey = text.size() == DataKeySize
        && std::all_of(
            text.begin(), text.end(), [](unsigned char digit) { return std::isxdigit(digit) != 0; });
    return isKey ? std::optional<std::string>(text) : std::nullopt;
}

static std::optional<std::string> parseText(std::string_view text)
{
    return std::string(text);
}

static std::optional<Duration> parseInterval(std::string_view text)
{
    const std::optional<Duration> interval = parseDuration(text);
    return interval && *interval >= std::chrono::milliseconds(10) ? interval : std::nullopt;
}

static void readEndpoints(YamlMapping &mapping, InstanceSettings &settings)
{
    constexpr std::string_view Kind = "an address with a port";
    mapping.takeParsed("caller-side", Kind, true, parseEndpoint, settings.callerSide);
    mapping.takeParsed("target-side", Kind, true, parseEndpoint, settings.targetSide);
    mapping.takeParsed("peer-data", Kind, true, parseEndpoint, settings.peerData);
    mapping.takeParsed("peer-control", Kind, true, parseEndpoint, settings.peerControl);
    mapping.takeParsed("caller-fabric", Kind, true, parseEndpoint, settings.callerFabric);
    mapping.takeParsed("target-fabric", Kind, true, parseEndpoint, settings.targetFabric);
    mapping.takeParsed("platform", Kind, false, parseEndpoint, settings.platform);
    mapping.takeParsed("operators", Kind, true, parseEndpoint, settings.operators);
}

static void readLimits(YamlMapping &mapping, InstanceSettings &settings)
{
    mapping.takeParsed(
        "traffic-threads", "a number from 1 to 64", false, parseWithin<1, 64>, settings.trafficThreads);
    mapping.takeParsed("flow-table-size", "a number of flows from 1024 to 16777216", false,
        parseWithin<1024, 1 << 24>, settings.flowTableSize);
    mapping.takeParsed("heartbeat-interval", "a duration of at least 10ms", false, parseInterval,
        settings.heartbeatInterval);
    mapping.takeParsed("lease", "a duration of at least 10ms", false, parseInterval, settings.lease);
    mapping.takeParsed(
        "control-budget", "a size with a unit (B, KiB, MiB)", false, parseSize, settings.controlBudget);
}

static void readPeers(YamlMapping &mapping, InstanceSettings &settings, Mistakes &mistakes)
{
    const YAML::Node list = mapping.take("peers");
    if (!list.IsDefined()) {
        return;
    }
    if (!list.IsSequence()) {
        addMistake(mistakes, list, "peers", "a sequence of peers is expected here");
        return;
    }
    for (const YAML::Node &node : list) {
        PeerKey peer;
        YamlMapping entry(node, "peers/" + std::to_string(settings.peers.size()), mistakes);
        entry.takeParsed("instance", "a name", true, parseName, peer.instance);
        entry.takeParsed("public-key", "a key of 40 characters", true, parseCurveKey, peer.publicKey);
        entry.takeParsed("peer-data", "an address with a port", false, parseEndpoint, peer.peerData);
        entry.takeParsed("peer-control", "an address with a port", false, parseEndpoint, peer.peerControl);
        entry.refuseRest();
        settings.peers.push_back(std::move(peer));
    }
}

static void readInstance(const YAML::Node &root, ParsedInstanceSettings &parsed)
{
    InstanceSettings &settings = parsed.settings;
    YamlMapping mapping(root, {}, parsed.mistakes);
    mapping.takeParsed("instance", "a name", true, parseName, settings.instance);
    mapping.takeParsed("data-centre", "a name", true, parseName, settings.dataCentre);
    readEndpoints(mapping, settings);
    readLimits(mapping, settings);
    mapping.takeParsed("public-key", "a key of 40 characters", true, parseCurveKey, settings.publicKey);
    mapping.takeParsed("secret-key", "a key of 40 characters", true, parseCurveKey, settings.secretKey);
    mapping.takeParsed("data-key", "a key of 64 hexadecimal digits", true, parseDataKey, settings.dataKey);
    readPeers(mapping, settings, parsed.mistakes);
    mapping.takeParsed(
        "log-level", "a level (info, warning, error)", false, parseLogLevel, settings.logLevel);
    mapping.takeParsed("log-file", "a path", false, parseText, settings.logFile);
    mapping.takeParsed("record-file", "a path", false, parseText, settings.recordFile);
    mapping.refuseRest();
}

ParsedInstanceSettings parseInstanceSettings(const std::string &text)
{
    ParsedInstanceSettings parsed;
    const std::optional<YAML::Node> root = loadDocument(text, MaximumInstanceSettingsSize, parsed.mistakes);
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

} // namespace jasminequay
