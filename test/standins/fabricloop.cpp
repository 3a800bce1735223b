#include "fabricloop.h"

#include "jasminequay/Packet/packetparser.h"

#include <yaml-cpp/yaml.h>

namespace jasminequay::standin
{

FabricLoop::FabricLoop(boost::asio::io_context &context, Endpoint callerSide, Endpoint targetSide,
    std::string file, std::uint64_t seed)
    : m_file(std::move(file))
    , m_random(seed)
    , m_callerListener(
          context, callerSide, [this](std::span<std::uint8_t> bytes) { take(bytes, m_toCaller); })
    , m_targetListener(
          context, targetSide, [this](std::span<std::uint8_t> bytes) { take(bytes, m_toTarget); })
{
    reload();
}

void FabricLoop::deliverTo(Deliver toCaller, Deliver toTarget)
{
    m_toCaller = std::move(toCaller);
    m_toTarget = std::move(toTarget);
}

void FabricLoop::take(std::span<std::uint8_t> bytes, const Deliver &deliver)
{
    const ParsedPacket parsed = parsePacket(bytes);
    if (parsed.cause != DropCause::None
        || (!parsed.packet.isIcmpError() && !hasValidChecksum(parsed.packet))) {
        ++m_badChecksums;
        return;
    }
    if (deliver) {
        deliver(parsed.packet);
    }
}

const FabricInstance *FabricLoop::pick()
{
    if (m_instances.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> index(0, m_instances.size() - 1);
    return &m_instances[index(m_random)];
}

void FabricLoop::fromCaller(const Bytes &packet)
{
    if (const FabricInstance *const instance = pick(); instance != nullptr) {
        m_callerListener.send(packet, instance->callerSide);
    }
}

void FabricLoop::fromTarget(const Bytes &packet)
{
    if (const FabricInstance *const instance = pick(); instance != nullptr) {
        m_targetListener.send(packet, instance->targetSide);
    }
}

void FabricLoop::reload()
{
    try {
        std::vector<FabricInstance> instances;
        for (const YAML::Node &node : YAML::LoadFile(m_file)["instances"]) {
            const std::optional<Endpoint> callerSide = parseEndpoint(node["caller-side"].as<std::string>());
            const std::optional<Endpoint> targetSide = parseEndpoint(node["target-side"].as<std::string>());
            if (callerSide && targetSide) {
                instances.push_back({*callerSide, *targetSide});
            }
        }
        m_instances = std::move(instances);
    } catch (const YAML::Exception &) {
        // The file is being replaced; the next reading gets it.
    }
}

} // namespace jasminequay::standin
