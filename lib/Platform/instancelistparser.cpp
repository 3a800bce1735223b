#include "jasminequay/Platform/instancelistparser.h"

#include "jasminequay/Support/units.h"

#include <yaml-cpp/yaml.h>

namespace jasminequay
{

static std::string textOf(const YAML::Node &node, const char *key)
{
    const YAML::Node value = node[key];
    return value.IsDefined() && value.IsScalar() ? value.Scalar() : std::string();
}

static std::optional<ListedInstance> parseInstance(const YAML::Node &node)
{
    if (!node.IsMap()) {
        return std::nullopt;
    }
    const std::optional<Endpoint> peerData = parseEndpoint(textOf(node, "peer-data"));
    const std::optional<Endpoint> peerControl = parseEndpoint(textOf(node, "peer-control"));
    ListedInstance instance{textOf(node, "instance"), textOf(node, "data-centre"), {}, {}, false};
    const std::string state = textOf(node, "state");
    const bool isWhole = peerData && peerControl && !instance.name.empty() && !instance.dataCentre.empty()
        && (state == "live" || state == "leaving");
    if (!isWhole) {
        return std::nullopt;
    }
    instance.peerData = *peerData;
    instance.peerControl = *peerControl;
    instance.isLeaving = state == "leaving";
    return instance;
}

static Result<InstanceList> readList(const YAML::Node &root, const std::string &platform)
{
    const std::uint64_t version = root.IsMap() ? parseNumber(textOf(root, "version")).value_or(0) : 0;
    const YAML::Node instances = root.IsMap() ? root["instances"] : YAML::Node();
    if (version == 0 || !instances.IsDefined() || (!instances.IsSequence() && !instances.IsNull())) {
        return fail(Step::ReadPlatform, platform, "the list of instances lacks its version or its instances");
    }
    InstanceList list;
    list.version = version;
    for (const YAML::Node &node : instances) {
        const std::optional<ListedInstance> instance = parseInstance(node);
        if (!instance) {
            return fail(Step::ReadPlatform, platform,
                "instance " + std::to_string(list.instances.size() + 1) + " of the list lacks a field");
        }
        list.instances.push_back(*instance);
    }
    return list;
}

Result<InstanceList> parseInstanceList(const std::string &text, const std::string &platform)
{
    try {
        return readList(YAML::Load(text), platform);
    } catch (const YAML::Exception &exception) {
        return fail(Step::ReadPlatform, platform, "the list of instances is not YAML: " + exception.msg);
    }
}

} // namespace jasminequay
