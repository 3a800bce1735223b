#include "jasminequay/Steering/steeringengine.h"

namespace jasminequay
{

using std::chrono::milliseconds;

/// A caller repeats data after 200 ms at the soonest; what comes again sooner is a doubled datagram.
constexpr Duration ShortestRepeat = milliseconds(120);

/// Numbers of a byte stream that are further apart than this belong to two flows.
constexpr std::int32_t StreamWindow = 1 << 24;

/// How often old flows are looked for.
constexpr Duration CleanInterval = std::chrono::seconds(2);

/// How long an ended flow is remembered for its last packets.
constexpr Duration EndedLifetime = std::chrono::seconds(4);

/// A request that is under way for longer is no longer counted: its end was seen by another instance.
constexpr Duration LongestRequest = std::chrono::seconds(2);

/// Returns how far `later` is ahead of `earlier` modulo 2^32.
static std::int32_t distance(std::uint32_t earlier, std::uint32_t later)
{
    return static_cast<std::int32_t>(later - earlier);
}

static std::uint32_t endOf(const PacketSummary &packet)
{
    return packet.sequence + packet.dataSize + (packet.isEnd ? 1 : 0);
}

SteeringEngine::SteeringEngine(SteeringSettings settings)
    : m_settings(std::move(settings))
    , m_targets(m_settings.directory)
    , m_flows(m_settings.flowCapacity)
{
}

void SteeringEngine::noteCurrent(TimePoint at)
{
    m_currentAt = std::max(m_currentAt, at);
    if (m_loadedAt == TimePoint{}) {
        m_loadedAt = at;
    }
}

bool SteeringEngine::isCurrent(TimePoint now) const
{
    return m_currentAt != TimePoint{} && now - m_currentAt <= m_settings.refusalAge;
}

SteeringDecision SteeringEngine::forward(KnownTarget &target, SteeringToken token, SteeringCause cause)
{
    SteeringDecision decision;
    decision.action = SteeringAction::Forward;
    decision.cause = cause;
    decision.target = target.record.address;
    decision.targetId = target.record.identity.id;
    decision.token = token;
    return decision;
}

SteeringDecision SteeringEngine::refuse(SteeringCause cause, std::uint32_t sequence)
{
    SteeringDecision decision;
    decision.action = SteeringAction::Reset;
    decision.cause = cause;
    decision.resetSequence = sequence;
    return decision;
}

SteeringDecision SteeringEngine::ignore(SteeringCause cause)
{
    SteeringDecision decision;
    decision.action = SteeringAction::Drop;
    decision.cause = cause;
    return decision;
}

SteeringDecision SteeringEngine::decideSummary(const PacketSummary &packet, TimePoint now)
{
    const SteeringDecision decision
        = packet.isOpening ? decideOpening(packet, now) : decideLater(packet, now);
    ++m_counters[static_cast<std::size_t>(decision.cause)];
    return decision;
}

void SteeringEngine::bind(FlowState &state, KnownTarget &target, SteeringToken token)
{
    if (state.target != target.key) {
        release(state);
        state.target = target.key;
        ++target.openFlows;
    }
    state.token = token;
}

FlowState &SteeringEngine::remember(const SteeredFlow &flow)
{
    return m_flows.at(flow, [this](FlowState &dropped) { release(dropped); });
}

void SteeringEngine::release(FlowState &state)
{
    KnownTarget *const target = state.target == 0 ? nullptr : m_targets.find(state.target);
    if (target != nullptr && target->openFlows > 0) {
        --target->openFlows;
    }
    if (target != nullptr && state.isUnderWay) {
        target->pace.noteEnd();
    }
    state.isUnderWay = false;
    state.target = 0;
}

SteeringDecision SteeringEngine::decideOpening(const PacketSummary &packet, TimePoint now)
{
    if (m_isBacklogged) {
        return ignore(SteeringCause::OpeningStale);
    }
    const Route *const route = m_routes.at(packet.flow.service);
    if (route == nullptr) {
        return isCurrent(now) ? refuse(SteeringCause::NoRoute, 0) : ignore(SteeringCause::RouteUncertain);
    }
    FlowState *const known = m_flows.find(packet.flow);
    const bool isCopy = known != nullptr && known->stage == FlowStage::Opening && packet.openingCopy > 0
        && now - known->seenAt >= ShortestRepeat;
    const bool isDoubled = known != nullptr && known->stage == FlowStage::Opening && !isCopy;
    KnownTarget *const before = known == nullptr ? nullptr : m_targets.find(known->target);
    if (isDoubled && before != nullptr && before->presence != TargetPresence::Gone) {
        return forward(*before, known->token, SteeringCause::Placed);
    }
    if (isCopy && before != nullptr) {
        before->evidence.noteUnansweredOpening(now);
        m_targets.watch(*before);
    }
    const auto [target, token, isFull] = place(*route, packet, isCopy ? known->target : 0, now);
    if (isFull) {
        return refuse(SteeringCause::ServiceFull, 0);
    }
    if (target == nullptr) {
        return isCurrent(now) ? refuse(SteeringCause::NoTarget, 0) : ignore(SteeringCause::NoTarget);
    }
    FlowState &state = remember(packet.flow);
    const bool isMoved = isCopy && state.target != target->key;
    bind(state, *target, token);
    state.stage = FlowStage::Opening;
    state.seenAt = now;
    state.progressAt = now;
    state.sentAt = now;
    state.sentUpTo = packet.sequence;
    state.acknowledged = 0;
    state.repeats = 0;
    state.isAwaited = false;
    return forward(*target, token, isMoved ? SteeringCause::PlacedAgain : SteeringCause::Placed);
}

/// While a flow opens, the token of the caller's first answer settles which target has it; afterwards a late
/// answer of another target may change the token that the caller sends, but not the target.
KnownTarget *SteeringEngine::targetOf(const PacketSummary &packet, const FlowState *state)
{
    const bool isRemembered = state != nullptr && state->stage != FlowStage::Opening && state->target != 0
        && std::abs(distance(state->sentUpTo, packet.sequence)) < StreamWindow;
    if (isRemembered) {
        if (KnownTarget *const target = m_targets.find(state->target)) {
            return target;
        }
    }
    return m_targets.withToken(packet.token);
}

/// What may run at most once is not broken off while its target may still be at work on it: a cut may refuse
/// connections as a dead target does. Its caller could not repeat it anyway.
bool SteeringEngine::mayBreakOff(const SteeredFlow &flow, const FlowState *state) const
{
    const Route *const route = m_routes.at(flow.service);
    const bool mayRepeat = route != nullptr && route->kind != RequestKind::NonIdempotent;
    return mayRepeat || (state != nullptr && !state->isAwaited);
}

std::optional<SteeringCause> SteeringEngine::lossOf(
    const KnownTarget &target, const SteeredFlow &flow, const FlowState *state, TimePoint now) const
{
    if (target.presence == TargetPresence::Gone) {
        return SteeringCause::TargetGone;
    }
    if (!target.evidence.isLost(now) || !mayBreakOff(flow, state)) {
        return std::nullopt;
    }
    return target.evidence.verdict(now) == TargetVerdict::Dead ? SteeringCause::TargetDead
                                                               : SteeringCause::TargetUnreachable;
}

SteeringDecision SteeringEngine::decideUnknown(const PacketSummary &packet, TimePoint now)
{
    // A target may be missing here because it is new, or because its entry lapsed for a moment.
    const bool isSettled = m_loadedAt != TimePoint{} && now - m_loadedAt >= m_settings.directory.lapseGrace;
    FlowState &state = remember(packet.flow);
    const bool isFirst = state.seenAt == TimePoint{};
    if (isFirst) {
        state.seenAt = now;
        state.progressAt = now;
        state.stage = FlowStage::Opening;
    }
    // The word of the store must be younger than the first packet that named the target.
    const bool isKnownGone = isSettled && isCurrent(now) && m_currentAt > state.progressAt;
    if (packet.isReset || !isKnownGone) {
        return ignore(SteeringCause::TokenUncertain);
    }
    return refuse(SteeringCause::TokenUnknown, packet.acknowledged);
}

SteeringDecision SteeringEngine::decideLater(const PacketSummary &packet, TimePoint now)
{
    FlowState *const known = m_flows.find(packet.flow);
    KnownTarget *const target = targetOf(packet, known);
    if (target == nullptr) {
        return decideUnknown(packet, now);
    }
    const bool isRouteDropped = m_routes.at(packet.flow.service) == nullptr && isCurrent(now);
    if (isRouteDropped && !packet.isReset) {
        return refuse(SteeringCause::RouteDropped, packet.acknowledged);
    }
    const bool isRemembered = known != nullptr && known->target == target->key;
    const bool isByMemory = isRemembered && known->token != packet.token;
    FlowState &state = remember(packet.flow);
    bind(state, *target, isRemembered ? state.token : packet.token);
    learnFrom(packet, state, *target, now);
    if (packet.isReset) {
        release(state);
        m_flows.erase(packet.flow);
        return target->presence == TargetPresence::Gone
            ? ignore(SteeringCause::TargetGone)
            : forward(*target, packet.token, SteeringCause::ByToken);
    }
    if (const std::optional<SteeringCause> loss = lossOf(*target, packet.flow, &state, now)) {
        release(state);
        m_flows.erase(packet.flow);
        return refuse(*loss, packet.acknowledged);
    }
    return forward(*target, state.token, isByMemory ? SteeringCause::ByMemory : SteeringCause::ByToken);
}

/// Reads from a packet whether its flow moves on.
void SteeringEngine::learnFrom(
    const PacketSummary &packet, FlowState &state, KnownTarget &target, TimePoint now)
{
    const bool isNew = state.seenAt == TimePoint{};
    const bool isOpened = state.stage == FlowStage::Opening;
    const bool isAcknowledging = !isNew && distance(state.acknowledged, packet.acknowledged) > 0;
    if ((isOpened && !isNew) || isAcknowledging) {
        target.evidence.noteProgress(now);
        state.progressAt = now;
        state.repeats = 0;
        state.isAwaited = false;
        endRequest(packet.flow, state, target, now);
    }
    if (isNew || isOpened || isAcknowledging) {
        state.acknowledged = packet.acknowledged;
    }
    const bool hasContent = packet.dataSize > 0 || packet.isEnd;
    const bool isFurther = isNew || isOpened || distance(state.sentUpTo, endOf(packet)) > 0;
    if (hasContent && isFurther) {
        state.sentUpTo = endOf(packet);
        state.sentAt = now;
        state.repeats = 0;
        if (packet.dataSize > 0 && !state.isAwaited) {
            state.isAwaited = true;
            beginRequest(state, target, now);
        }
    } else if (isNew || isAcknowledging) {
        state.sentAt = now;
    } else if (now - state.sentAt >= ShortestRepeat) {
        // Data or an acknowledgement that came before: the target did not get it.
        state.sentAt = now;
        state.repeats = static_cast<std::uint8_t>(std::min(state.repeats + 1, 255));
        target.evidence.noteRepeat(state.repeats, now);
        m_targets.watch(target);
    }
    state.seenAt = now;
    state.stage = packet.isEnd ? FlowStage::Ending : (isOpened ? FlowStage::Open : state.stage);
}

std::vector<PendingReset> SteeringEngine::sweep(TimePoint now, std::size_t limit)
{
    m_targets.expire(now, [this](std::uint64_t key) {
        for (auto &[flow, state] : m_flows.flows()) {
            state.target = state.target == key ? 0 : state.target;
        }
    });
    std::unordered_map<std::uint64_t, const KnownTarget *> lost;
    for (const std::uint64_t key : m_targets.watched()) {
        const KnownTarget &target = *m_targets.find(key);
        const bool isLost = target.presence == TargetPresence::Gone || target.evidence.isLost(now);
        if (isLost && target.openFlows > 0) {
            lost[key] = &target;
        }
    }
    const bool isCleaning = now - m_cleanedAt >= CleanInterval || m_cleanedAt == TimePoint{};
    std::vector<PendingReset> resets;
    if (lost.empty() && !isCleaning) {
        return resets;
    }
    m_cleanedAt = isCleaning ? now : m_cleanedAt;
    for (auto position = m_flows.flows().begin(); position != m_flows.flows().end();) {
        auto &[flow, state] = *position;
        const Duration lifetime = state.stage == FlowStage::Ending ? EndedLifetime : m_settings.flowLifetime;
        bool isErased = now - state.seenAt > lifetime;
        if (state.isUnderWay && now - state.requestAt > LongestRequest) {
            state.isUnderWay = false;
            if (KnownTarget *const target = m_targets.find(state.target)) {
                target->pace.noteEnd();
            }
        }
        const auto found = lost.find(state.target);
        if (found != lost.end() && state.stage != FlowStage::Opening && resets.size() < limit) {
            if (const auto loss = lossOf(*found->second, flow, &state, now)) {
                resets.push_back({flow, *loss, state.acknowledged, state.target});
                ++m_counters[static_cast<std::size_t>(*loss)];
                isErased = true;
            }
        }
        if (isErased) {
            release(state);
            position = m_flows.flows().erase(position);
        } else {
            ++position;
        }
    }
    return resets;
}

} // namespace jasminequay
