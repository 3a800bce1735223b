#include "jasminequay/Steering/steeringengine.h"

namespace jasminequay
{

using std::chrono::milliseconds;

/// The answer to an opening packet that was sent once more has reached the caller after this time.
constexpr Duration EarlyAnswerTime = milliseconds(40);

/// Sequence numbers that are further apart than this belong to different flows.
constexpr std::int32_t MaximumStreamDistance = 1 << 24;

/// How often old flows are removed.
constexpr Duration CleanupInterval = std::chrono::seconds(2);

/// How long an ended flow is kept for its last packets.
constexpr Duration EndedLifetime = std::chrono::seconds(4);

/// A request that is in flight for longer is no longer counted: another instance saw its response.
constexpr Duration MaximumRequestTime = std::chrono::seconds(2);

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
    , m_coldTargets(m_settings.dataCentre)
    , m_flows(m_settings.flowCapacity)
{
}

bool SteeringEngine::replaceRoutes(RouteConfiguration configuration, TimePoint now)
{
    if (m_routes.completeSlowStarts(configuration)) {
        m_coldTargets.setSlowStarts(m_routes.configuration().slowStarts);
    }
    if (!m_routes.replaceAll(std::move(configuration))) {
        return false;
    }
    m_targets.setServices(m_routes.services(), now);
    m_coldTargets.setSlowStarts(m_routes.configuration().slowStarts);
    return true;
}

void SteeringEngine::markCurrentAt(TimePoint at)
{
    m_currentAt = std::max(m_currentAt, at);
    m_targets.observe(at);
    if (m_loadedAt == TimePoint{}) {
        m_loadedAt = at;
    }
}

bool SteeringEngine::isCurrent(TimePoint now) const
{
    return m_currentAt != TimePoint{} && now - m_currentAt <= m_settings.refusalAge;
}

SteeringDecision SteeringEngine::makeForward(KnownTarget &target, SteeringToken token, SteeringCause cause)
{
    SteeringDecision decision;
    decision.action = SteeringAction::Forward;
    decision.cause = cause;
    decision.target = target.record.address;
    decision.targetId = target.record.identity.id;
    decision.token = token;
    return decision;
}

SteeringDecision SteeringEngine::makeReset(SteeringCause cause, std::uint32_t sequence)
{
    SteeringDecision decision;
    decision.action = SteeringAction::Reset;
    decision.cause = cause;
    decision.resetSequence = sequence;
    return decision;
}

SteeringDecision SteeringEngine::makeDrop(SteeringCause cause)
{
    SteeringDecision decision;
    decision.action = SteeringAction::Drop;
    decision.cause = cause;
    return decision;
}

SteeringDecision SteeringEngine::decideSummary(const PacketSummary &packet, TimePoint now)
{
    const SteeringDecision decision
        = packet.isOpening ? decideOpening(packet, now) : decideNonOpening(packet, now);
    ++m_counters[static_cast<std::size_t>(decision.cause)];
    return decision;
}

void SteeringEngine::bind(FlowState &state, KnownTarget &target, SteeringToken token)
{
    if (state.target != target.key) {
        unbind(state);
        state.target = target.key;
        ++target.openFlows;
    }
    state.token = token;
}

FlowState &SteeringEngine::findOrAddFlow(const SteeredFlow &flow)
{
    return m_flows.at(flow, [this](FlowState &dropped) { unbind(dropped); });
}

void SteeringEngine::unbind(FlowState &state)
{
    KnownTarget *const target = state.target == 0 ? nullptr : m_targets.find(state.target);
    if (target != nullptr && target->openFlows > 0) {
        --target->openFlows;
    }
    if (target != nullptr && state.isRequestInFlight) {
        target->pace.recordRequestEnd();
    }
    forgetEnd(state, target);
    state.isRequestInFlight = false;
    state.target = 0;
}

/// Returns whether an opening packet belongs to a flow that has already opened: a duplicate that was delayed
/// in the network. A reset in reply would end a flow whose target is alive.
static bool isLateOpening(const PacketSummary &packet, const FlowState *known)
{
    return known != nullptr && known->stage != FlowStage::Opening && known->target != 0
        && std::abs(distance(packet.sequence, known->sentEnd)) < MaximumStreamDistance;
}

SteeringDecision SteeringEngine::decideOpening(const PacketSummary &packet, TimePoint now)
{
    if (m_isBacklogged) {
        return makeDrop(SteeringCause::OpeningStale);
    }
    const Route *const route = m_routes.at(packet.flow.service);
    if (route == nullptr) {
        return isCurrent(now) ? makeReset(SteeringCause::NoRoute, 0)
                              : makeDrop(SteeringCause::RouteUncertain);
    }
    FlowState *const known = m_flows.find(packet.flow);
    const bool isCopy = known != nullptr && known->stage == FlowStage::Opening && packet.openingCopy > 0
        && now - known->seenAt >= MinimumRetransmissionInterval;
    const bool isDuplicate = known != nullptr && known->stage == FlowStage::Opening && !isCopy;
    KnownTarget *const previous = known == nullptr ? nullptr : m_targets.find(known->target);
    const bool isEvacuated
        = previous != nullptr && m_targets.evacuations().isEvacuated(previous->record.dataCentre);
    if (isDuplicate && isEvacuated && now - known->seenAt < MinimumRetransmissionInterval) {
        // The same datagram once more: the first one was sent on before the evacuation.
        return makeDrop(SteeringCause::Evacuated);
    }
    const bool isPlaced = isDuplicate && previous != nullptr && previous->presence != TargetPresence::Gone;
    if (isPlaced && !isEvacuated && !needsRoom(*known, *previous, now)) {
        return makeForward(*previous, known->token, SteeringCause::Placed);
    }
    if (isCopy && previous != nullptr) {
        previous->evidence.recordUnansweredOpening(now);
        m_targets.watch(*previous);
        if (PriorityAdmission *const admission = admissionAt(previous->record)) {
            admission->recordUnanswered(packet.flow.hash(), now);
        }
        markOverdue(packet.flow, *known, known->sentAt, now);
    }
    const auto [target, token, isFull, isLeftOut] = place(*route, packet, isCopy ? known->target : 0, now);
    if (isFull) {
        // A duplicate or a copy of an opening packet must not end the flow: it is open, or its target may
        // have answered the first one.
        const bool isOpen = known != nullptr && known->stage == FlowStage::Open && packet.openingCopy > 0;
        if (isOpen || isPlaced || isCopy || isLateOpening(packet, known)) {
            return makeDrop(SteeringCause::ServiceFull);
        }
        return makeReset(SteeringCause::ServiceFull, 0);
    }
    if (target == nullptr && isLeftOut) {
        return isLateOpening(packet, known) ? makeDrop(SteeringCause::Evacuated)
                                            : makeReset(SteeringCause::Evacuated, 0);
    }
    if (target == nullptr) {
        return isCurrent(now) ? makeReset(SteeringCause::NoTarget, 0) : makeDrop(SteeringCause::NoTarget);
    }
    FlowState &state = findOrAddFlow(packet.flow);
    const bool isMoved = isCopy && state.target != target->key;
    bind(state, *target, token);
    state.stage = FlowStage::Opening;
    state.seenAt = now;
    state.progressAt = now;
    state.sentAt = now;
    state.sentEnd = packet.sequence;
    state.acknowledged = 0;
    state.retransmissions = 0;
    state.isResponsePending = false;
    forgetEnd(state, target);
    watchOpening(packet.flow, state, now);
    target->openings.recordOpening(now);
    m_targets.openingsOf(target->record.dataCentre).recordOpening(now);
    recordSent(packet.flow, *target, true, now);
    m_coldTargets.recordFlow(*target, now);
    return makeForward(*target, token, isMoved ? SteeringCause::PlacedAgain : SteeringCause::Placed);
}

void SteeringEngine::recordEarlyRetransmission(const SteeredFlow &flow, TimePoint now)
{
    FlowState *const state = m_flows.find(flow);
    if (state != nullptr && state->stage == FlowStage::Opening) {
        // A copy of the caller that arrives within the answer time counts as a duplicate.
        state->seenAt = std::max(state->seenAt, now + EarlyAnswerTime - MinimumRetransmissionInterval);
    }
}

/// Returns the target of a packet. While a flow opens, the token in the caller's first packet after the
/// opening packet determines its target. Afterwards a late answer of another target may change the token that
/// the caller sends, but not the target.
KnownTarget *SteeringEngine::targetOf(const PacketSummary &packet, const FlowState *state)
{
    const bool isRemembered = state != nullptr && state->stage != FlowStage::Opening && state->target != 0
        && std::abs(distance(state->sentEnd, packet.sequence)) < MaximumStreamDistance;
    if (isRemembered) {
        if (KnownTarget *const target = m_targets.find(state->target)) {
            return target;
        }
    }
    return m_targets.findByToken(packet.token);
}

/// Returns whether a flow to a lost target may be reset. A non-idempotent request is not aborted while its
/// target may still be processing it: a network partition may refuse connections just as a dead target does.
/// Its caller could not repeat the request anyway.
bool SteeringEngine::mayAbort(const SteeredFlow &flow, const FlowState *state) const
{
    const Route *const route = m_routes.at(flow.service);
    const bool mayRepeat = route != nullptr && route->kind != RequestKind::NonIdempotent;
    return mayRepeat || (state != nullptr && !state->isResponsePending);
}

std::optional<SteeringCause> SteeringEngine::lossCause(
    const KnownTarget &target, const SteeredFlow &flow, const FlowState *state, TimePoint now) const
{
    if (target.presence == TargetPresence::Gone) {
        return SteeringCause::TargetGone;
    }
    if (!target.evidence.isLost(now) || !mayAbort(flow, state)) {
        return std::nullopt;
    }
    return target.evidence.verdict(now) == TargetVerdict::Dead ? SteeringCause::TargetDead
                                                               : SteeringCause::TargetUnreachable;
}

SteeringDecision SteeringEngine::decideUnknownToken(const PacketSummary &packet, TimePoint now)
{
    // A target may be missing here because it is new, or because its entry lapsed briefly.
    const bool isSettled = m_loadedAt != TimePoint{} && now - m_loadedAt >= m_settings.directory.lapseGrace;
    FlowState &state = findOrAddFlow(packet.flow);
    const bool isFirst = state.seenAt == TimePoint{};
    if (isFirst) {
        state.seenAt = now;
        state.progressAt = now;
        state.stage = FlowStage::Opening;
    }
    // The store must have been read after the first packet with this token arrived.
    const bool isKnownGone = isSettled && isCurrent(now) && m_currentAt > state.progressAt;
    if (packet.isReset || !isKnownGone) {
        return makeDrop(SteeringCause::TokenUncertain);
    }
    return makeReset(SteeringCause::TokenUnknown, packet.acknowledged);
}

SteeringDecision SteeringEngine::decideNonOpening(const PacketSummary &packet, TimePoint now)
{
    FlowState *const known = m_flows.find(packet.flow);
    KnownTarget *const target = targetOf(packet, known);
    if (target == nullptr) {
        return decideUnknownToken(packet, now);
    }
    const bool isRouteDropped = m_routes.at(packet.flow.service) == nullptr && isCurrent(now);
    if (isRouteDropped && !packet.isReset) {
        return makeReset(SteeringCause::RouteDropped, packet.acknowledged);
    }
    const bool isRemembered = known != nullptr && known->target == target->key;
    const bool isByMemory = isRemembered && known->token != packet.token;
    FlowState &state = findOrAddFlow(packet.flow);
    bind(state, *target, isRemembered ? state.token : packet.token);
    trackProgress(packet, state, *target, now);
    if (packet.isReset) {
        if (PriorityAdmission *const admission = admissionAt(target->record)) {
            admission->recordSettled(packet.flow.hash(), now);
        }
        unbind(state);
        m_flows.erase(packet.flow);
        return target->presence == TargetPresence::Gone
            ? makeDrop(SteeringCause::TargetGone)
            : makeForward(*target, packet.token, SteeringCause::ByToken);
    }
    if (const std::optional<SteeringCause> loss = lossCause(*target, packet.flow, &state, now)) {
        unbind(state);
        m_flows.erase(packet.flow);
        return makeReset(*loss, packet.acknowledged);
    }
    return makeForward(*target, state.token, isByMemory ? SteeringCause::ByMemory : SteeringCause::ByToken);
}

/// Derives from a packet whether its flow makes progress, and updates the flow and the evidence about its
/// target.
void SteeringEngine::trackProgress(
    const PacketSummary &packet, FlowState &state, KnownTarget &target, TimePoint now)
{
    const bool isNew = state.seenAt == TimePoint{};
    const bool wasOpening = state.stage == FlowStage::Opening;
    const bool isAcknowledging = !isNew && distance(state.acknowledged, packet.acknowledged) > 0;
    if ((wasOpening && !isNew) || isAcknowledging) {
        target.evidence.recordProgress(now);
        target.openings.recordProgress(now);
        m_targets.openingsOf(target.record.dataCentre).recordProgress(now);
        if (wasOpening) {
            m_openingPatience.recordAnswer(now - state.sentAt);
            recordOpeningTime(state, target, now);
        }
        state.progressAt = now;
        state.retransmissions = 0;
        state.isResponsePending = false;
        const std::int32_t answerBytes = std::max(distance(state.acknowledged, packet.acknowledged), 0);
        endRequest(packet.flow, state, target, static_cast<std::uint32_t>(answerBytes), now);
    }
    if (isNew || wasOpening || isAcknowledging) {
        state.acknowledged = packet.acknowledged;
    }
    const bool hasContent = packet.dataSize > 0 || packet.isEnd;
    const bool isAdvancing = isNew || wasOpening || distance(state.sentEnd, endOf(packet)) > 0;
    if (hasContent && isAdvancing) {
        state.sentEnd = endOf(packet);
        state.sentAt = now;
        state.retransmissions = 0;
        if (packet.dataSize > 0 && !state.isResponsePending) {
            state.isResponsePending = true;
            beginRequest(state, target, now);
            recordSent(packet.flow, target, false, now);
            watchRequest(packet.flow, state, now);
        }
    } else if (isNew || isAcknowledging) {
        state.sentAt = now;
    } else if (now - state.sentAt >= MinimumRetransmissionInterval) {
        // A retransmission of data or of an acknowledgement: the target did not receive it.
        state.sentAt = now;
        state.retransmissions = static_cast<std::uint8_t>(std::min(state.retransmissions + 1, 255));
        target.evidence.recordRetransmission(state.retransmissions, now);
        m_targets.watch(target);
    }
    state.seenAt = now;
    state.stage = packet.isEnd ? FlowStage::Ending : (wasOpening ? FlowStage::Open : state.stage);
    countEnd(state, target);
}

std::vector<PendingReset> SteeringEngine::sweep(TimePoint now, std::size_t limit)
{
    checkHealth(now);
    const auto forget = [this](std::uint64_t key) {
        for (auto &[flow, state] : m_flows.flows()) {
            state.target = state.target == key ? 0 : state.target;
        }
    };
    m_targets.expire(now, forget, m_currentAt);
    std::unordered_map<std::uint64_t, const KnownTarget *> lost;
    for (const std::uint64_t key : m_targets.watched()) {
        const KnownTarget &target = *m_targets.find(key);
        const bool isLost = target.presence == TargetPresence::Gone || target.evidence.isLost(now);
        if (isLost && target.openFlows > 0) {
            lost[key] = &target;
        }
    }
    const bool isCleanupDue = now - m_cleanedUpAt >= CleanupInterval || m_cleanedUpAt == TimePoint{};
    std::vector<PendingReset> resets;
    if (lost.empty() && !isCleanupDue) {
        return resets;
    }
    m_cleanedUpAt = isCleanupDue ? now : m_cleanedUpAt;
    for (auto position = m_flows.flows().begin(); position != m_flows.flows().end();) {
        auto &[flow, state] = *position;
        const Duration lifetime = state.stage == FlowStage::Ending ? EndedLifetime : m_settings.flowLifetime;
        bool isErased = now - state.seenAt > lifetime;
        if (state.isRequestInFlight && now - state.requestStartedAt > MaximumRequestTime) {
            state.isRequestInFlight = false;
            if (KnownTarget *const target = m_targets.find(state.target)) {
                target->pace.recordRequestEnd();
            }
        }
        const auto found = lost.find(state.target);
        if (found != lost.end() && state.stage != FlowStage::Opening && resets.size() < limit) {
            if (const auto loss = lossCause(*found->second, flow, &state, now)) {
                resets.push_back({flow, *loss, state.acknowledged, state.target});
                ++m_counters[static_cast<std::size_t>(*loss)];
                isErased = true;
            }
        }
        if (isErased) {
            unbind(state);
            position = m_flows.flows().erase(position);
        } else {
            ++position;
        }
    }
    return resets;
}

} // namespace jasminequay
