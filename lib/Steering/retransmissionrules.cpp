#include "jasminequay/Steering/retransmissionrules.h"

namespace jasminequay
{

static bool isRepeatable(const SteeringEngine &engine, const SteeredFlow &flow)
{
    const Route *const route = engine.routes().at(flow.service);
    return route != nullptr && route->kind != RequestKind::NonIdempotent;
}

/// Returns whether a packet that was just decided about begins a request. A flow that made no progress at
/// this instance may have sent the packet before to another instance.
static bool beginsRequest(SteeringEngine &engine, const PacketSummary &packet, TimePoint now)
{
    const FlowState *const state = engine.flows().find(packet.flow);
    return state != nullptr && packet.dataSize > 0 && state->isResponsePending
        && state->requestStartedAt == now && state->progressAt != TimePoint{};
}

std::optional<AwaitedPacket> awaitedPacket(
    SteeringEngine &engine, const PacketSummary &packet, const SteeringDecision &decision, TimePoint now)
{
    if (decision.action != SteeringAction::Forward || packet.isReset) {
        return std::nullopt;
    }
    const bool mayRepeat = isRepeatable(engine, packet.flow);
    const bool isAwaited
        = packet.isOpening ? packet.openingCopy == 0 : mayRepeat && beginsRequest(engine, packet, now);
    const KnownTarget *const target = isAwaited ? engine.targets().findByToken(decision.token) : nullptr;
    if (target == nullptr) {
        return std::nullopt;
    }
    return AwaitedPacket{packet.flow, packet.isOpening, mayRepeat, packet.acknowledged, target->key,
        target->record.dataCentre, decision.target};
}

bool mayRetransmit(SteeringEngine &engine, std::uint64_t targetKey, const SteeredFlow &flow, TimePoint now)
{
    const KnownTarget *const target = engine.targets().find(targetKey);
    if (target == nullptr || !isRepeatable(engine, flow)) {
        return false;
    }
    const bool isHealthy = target->presence == TargetPresence::Listed && !target->isDisplaced
        && !target->record.isDraining && target->evidence.verdict(now) == TargetVerdict::Healthy;
    // A copy may open a flow that the first packet did not, so it must respect what keeps new flows away.
    const bool isClosed = engine.targets().evacuations().isEvacuated(target->record.dataCentre)
        || engine.coldTargets().isLimitedNow(*target, now);
    const auto load
        = engine.serviceLoads().find(std::pair(target->record.service, target->record.dataCentre));
    const bool isOverloaded = load != engine.serviceLoads().end() && load->second.isOverloaded(now);
    return isHealthy && !isClosed && !isOverloaded;
}

} // namespace jasminequay
