#include "jasminequay/Node/packetpath.h"

#include "jasminequay/Fabric/steering.h"
#include "jasminequay/Packet/packetparser.h"
#include "jasminequay/Packet/rewrite.h"

namespace jasminequay
{

PacketPath::PacketPath(FlowEngine &engine, const DataChannel &channel, PacketOutput &output)
    : m_engine(engine)
    , m_channel(channel)
    , m_output(output)
{
}

void PacketPath::drop(DropCause cause)
{
    ++m_counters.drops[static_cast<std::size_t>(cause)];
}

void PacketPath::onFabricPacket(std::span<std::uint8_t> bytes, FabricSide side, TimePoint now)
{
    ++m_counters.fabricPackets;
    decide(bytes, {side, {}, 0}, now);
}

void PacketPath::decide(std::span<std::uint8_t> bytes, const PacketSource &source, TimePoint now)
{
    ParsedPacket parsed = parsePacket(bytes);
    if (parsed.cause != DropCause::None) {
        drop(parsed.cause);
        return;
    }
    const Decision decision = source.side == FabricSide::Callers
        ? m_engine.onCallerPacket(parsed.packet, source.origin, source.hops, now)
        : m_engine.onTargetPacket(parsed.packet, source.origin, source.hops, now);
    applyDecision(parsed.packet, decision, source);
}

void PacketPath::applyDecision(PacketView &packet, const Decision &decision, const PacketSource &source)
{
    if (decision.notifiesOrigin) {
        answerOrigin(packet, decision, source.origin);
    }
    switch (decision.action) {
    case PacketAction::Drop:
        drop(decision.cause);
        return;
    case PacketAction::ToTarget:
        decrementTimeToLive(packet);
        rewriteDestination(packet, decision.endpoint);
        ++m_counters.packetsToTargets;
        m_counters.bytesToTargets += packet.bytes.size();
        m_output.toTargets(packet.bytes);
        return;
    case PacketAction::ToCaller:
        decrementTimeToLive(packet);
        rewriteSource(packet, decision.endpoint);
        ++m_counters.packetsToCallers;
        m_counters.bytesToCallers += packet.bytes.size();
        m_output.toCallers(packet.bytes);
        return;
    case PacketAction::ToPeer: {
        ForwardedPacket forwarded;
        forwarded.side = source.side;
        forwarded.hops = static_cast<std::uint8_t>(source.hops + 1);
        forwarded.packet.assign(packet.bytes.begin(), packet.bytes.end());
        const bool isFromCaller = (source.side == FabricSide::Callers) != packet.isIcmpError();
        const Endpoint caller = isFromCaller ? packet.source : packet.destination;
        sendToPeer({m_channel.self(), std::move(forwarded)}, decision.peer, steeringOf(caller));
        return;
    }
    case PacketAction::Refuse:
        sendRefusal(packet);
        return;
    case PacketAction::Hold:
        return;
    }
}

void PacketPath::sendRefusal(const PacketView &packet)
{
    std::array<std::uint8_t, MaximumRefusalSize> buffer{};
    const std::size_t size = buildRefusal(packet, buffer);
    m_buffers.emplace_back(buffer.begin(), buffer.begin() + size);
    if (size > 0) {
        m_output.toCallers(m_buffers.back());
    }
}

void PacketPath::answerOrigin(const PacketView &packet, const Decision &decision, InstanceId origin)
{
    BindingMessage binding;
    binding.kind = BindingKind::OwnerReply;
    binding.flow = {packet.source, packet.destination, packet.protocol};
    binding.target = decision.endpoint;
    binding.isEstablished = decision.isEstablished;
    sendToPeer({m_channel.self(), binding}, origin, steeringOf(packet.source));
}

void PacketPath::sendToPeer(const DataMessage &message, InstanceId peer, std::uint32_t steering)
{
    const auto entry = m_peers->find(peer.value);
    if (entry == m_peers->end()) {
        drop(DropCause::SendFailed);
        return;
    }
    ++m_counters.packetsToPeers;
    m_buffers.push_back(m_channel.encode(message, steering));
    m_output.toPeer(m_buffers.back(), entry->second);
}

void PacketPath::onPeerDatagram(std::span<const std::uint8_t> bytes, TimePoint now)
{
    withFailure(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(message, m_channel.decode(bytes, {}));
            if (const auto *const binding = std::get_if<BindingMessage>(&message.body); binding != nullptr) {
                m_engine.onBinding(message.sender, *binding, now);
                return {};
            }
            auto &forwarded = std::get<ForwardedPacket>(message.body);
            m_buffers.push_back(std::move(forwarded.packet));
            decide(m_buffers.back(), {forwarded.side, message.sender, forwarded.hops}, now);
            return {};
        },
        [this](const Failure &) { drop(DropCause::Unauthenticated); });
}

/// Returns whether a binding is sent in order over the control connection rather than immediately over the
/// data channel.
static bool usesControlConnection(BindingKind kind)
{
    return kind == BindingKind::Replica || kind == BindingKind::Shared;
}

void PacketPath::sendEngineOutput(std::vector<OutgoingBinding> &forControl)
{
    for (ReleasedPacket &released : m_engine.takeReleased()) {
        m_buffers.push_back(std::move(released.packet));
        ParsedPacket parsed = parsePacket(m_buffers.back());
        if (parsed.cause == DropCause::None) {
            applyDecision(parsed.packet, released.decision, {FabricSide::Callers, released.origin, 0});
        }
    }
    for (const OutgoingBinding &outgoing : m_engine.takeOutbox()) {
        if (usesControlConnection(outgoing.message.kind)) {
            forControl.push_back(outgoing);
            continue;
        }
        sendToPeer(
            {m_channel.self(), outgoing.message}, outgoing.to, steeringOf(outgoing.message.flow.caller));
    }
}

void PacketPath::releaseBuffers()
{
    m_buffers.clear();
}

} // namespace jasminequay
