// The part of the engine that judges answers and finds overdue requests.
#include "jasminequay/Steering/steeringengine.h"
#include "jasminequay/Steering/targetchoice.h"

#include <algorithm>

namespace jasminequay
{

using std::chrono::milliseconds;

/// The sweep runs every 50 ms. After a longer interval the process was paused or had no processor time, and
/// answers to requests from before may not have been processed yet.
constexpr Duration MaximumCheckInterval = milliseconds(250);

/// The least time after which an opening counts as unanswered. Instances that are short of processor time see
/// the callers' next packets late.
constexpr Duration MinimumOpeningTime = milliseconds(80);

/// Counts a flow that its caller has closed, once. It remains in the flow table for its last packets.
void SteeringEngine::countEnd(FlowState &state, KnownTarget &target)
{
    if (state.stage == FlowStage::Ending && !state.isEndCounted) {
        state.isEndCounted = true;
        ++target.endedFlows;
    }
}

/// Takes back what countEnd() did, when a flow leaves its target or is opened again.
void SteeringEngine::forgetEnd(FlowState &state, KnownTarget *target)
{
    if (state.isEndCounted && target != nullptr && target->endedFlows > 0) {
        --target->endedFlows;
    }
    state.isEndCounted = false;
}

OutlierCandidate SteeringEngine::candidateOf(const KnownTarget &target)
{
    const std::vector<KnownTarget *> &targets = m_targets.targetsOfService(target.record.service);
    const auto local = std::count_if(targets.begin(), targets.end(),
        [&](const KnownTarget *other) { return other->record.dataCentre == target.record.dataCentre; });
    return {target.key, target.record.service, target.record.dataCentre, targets.size(),
        static_cast<std::size_t>(local)};
}

/// Returns whether answers to what was sent at `sentAt` are judged: not if the instance has not run since, as
/// they may have waited to be processed.
bool SteeringEngine::isJudged(TimePoint sentAt, TimePoint now) const
{
    const bool isRunning
        = m_health.checkedAt == TimePoint{} || now - m_health.checkedAt <= MaximumCheckInterval;
    return m_settings.features.ejectsOutliers && !m_isBacklogged && isRunning
        && sentAt >= m_health.judgedFrom;
}

/// Adds to the parameters of a choice what the answers of targets show.
void SteeringEngine::addHealth(const Route &route, ChoiceRequest &request)
{
    if (!m_settings.features.ejectsOutliers) {
        return;
    }
    request.outliers = &m_health.outliers;
    request.expectedTimes = &m_health.times;
    request.route = route.address;
    request.allInstances = m_allInstances;
    // Answers of routes without an objective are not judged, so such a flow would try a target for nothing.
    request.isRepeatable = route.kind != RequestKind::NonIdempotent && route.objective > Duration::zero();
}

/// Records how long the answer to an opening took.
void SteeringEngine::recordOpeningTime(const FlowState &state, const KnownTarget &target, TimePoint now)
{
    if (isJudged(state.sentAt, now)) {
        m_health.times.recordOpening(target.record.dataCentre, now - state.sentAt);
    }
}

void SteeringEngine::watchOpening(const SteeredFlow &flow, FlowState &state, TimePoint now)
{
    if (!m_settings.features.ejectsOutliers) {
        return;
    }
    state.isOverdue = false;
    m_health.openings.add(flow, now);
    m_health.outliers.recordOpening(state.target, now);
}

void SteeringEngine::watchRequest(const SteeredFlow &flow, FlowState &state, TimePoint now)
{
    const Route *const route = m_routes.at(flow.service);
    const bool isJudgedRoute = route != nullptr && route->objective > Duration::zero();
    if (m_settings.features.ejectsOutliers && isJudgedRoute) {
        state.isOverdue = false;
        m_health.requests[flow.service].add(flow, now);
    }
}

/// Records the answer to the request of a flow, unless the request has been counted as overdue.
void SteeringEngine::recordOutcome(const SteeredFlow &flow, const FlowState &state, KnownTarget &target,
    AnswerVerdict verdict, TimePoint now)
{
    if (!isJudged(state.requestStartedAt, now) || state.isOverdue
        || target.presence == TargetPresence::Gone) {
        return;
    }
    const Duration time = now - state.requestStartedAt;
    const bool isLate = time >= overdueAfter(flow.service);
    if (isLate || verdict != AnswerVerdict::Failed) {
        m_health.times.recordAnswer(flow.service, target, time, now);
    } else {
        m_health.times.recordFailure(target, now);
    }
    if (isLate || verdict == AnswerVerdict::Failed) {
        m_health.outliers.recordFailure(candidateOf(target), state.requestStartedAt, now);
    } else {
        const OutlierCandidate candidate{target.key, target.record.service, target.record.dataCentre, 1, 1};
        m_health.outliers.recordSuccess(candidate, state.requestStartedAt, now);
    }
}

Duration SteeringEngine::overdueAfter(Endpoint service) const
{
    const auto found = m_answerQualities.find(service.packed());
    return found == m_answerQualities.end() ? Duration::max() : found->second.overdueAfter();
}

/// Counts a request or opening of a flow as overdue, once.
void SteeringEngine::markOverdue(const SteeredFlow &flow, FlowState &state, TimePoint sentAt, TimePoint now)
{
    if (state.isOverdue || !isJudged(sentAt, now)) {
        return;
    }
    state.isOverdue = true;
    KnownTarget *const target = m_targets.find(state.target);
    if (target == nullptr || target->presence == TargetPresence::Gone) {
        return;
    }
    m_health.outliers.recordFailure(candidateOf(*target), sentAt, now);
    if (state.stage != FlowStage::Opening) {
        m_health.times.recordOverdue(flow.service, *target, now - sentAt, now);
    }
}

void SteeringEngine::checkOpenings(TimePoint now)
{
    const Duration patience = std::max(m_openingPatience.value(), MinimumOpeningTime);
    for (const RequestWatch::Entry &entry : m_health.openings.takeOlderThan(patience, now)) {
        FlowState *const state = m_flows.find(entry.flow);
        if (state != nullptr && state->stage == FlowStage::Opening && state->sentAt == entry.sentAt) {
            markOverdue(entry.flow, *state, entry.sentAt, now);
        }
    }
}

void SteeringEngine::checkRequests(TimePoint now)
{
    for (auto &[address, watch] : m_health.requests) {
        const Duration patience = overdueAfter(address);
        for (const RequestWatch::Entry &entry : watch.takeOlderThan(patience, now)) {
            FlowState *const state = m_flows.find(entry.flow);
            const bool isInFlight
                = state != nullptr && state->isRequestInFlight && state->requestStartedAt == entry.sentAt;
            if (isInFlight) {
                markOverdue(entry.flow, *state, entry.sentAt, now);
            }
        }
    }
}

/// Counts the requests and openings that have become overdue since the last call.
void SteeringEngine::checkHealth(TimePoint now)
{
    if (!m_settings.features.ejectsOutliers) {
        return;
    }
    const bool wasPaused
        = m_health.checkedAt != TimePoint{} && now - m_health.checkedAt > MaximumCheckInterval;
    m_health.checkedAt = now;
    if (wasPaused) {
        m_health.judgedFrom = now;
        m_health.openings.clear();
        m_health.requests.clear();
    }
    checkOpenings(now);
    checkRequests(now);
    m_health.outliers.expire(now);
}

void SteeringEngine::recordPeerFailures(
    std::string_view peer, const std::vector<TargetFailures> &reports, TimePoint now)
{
    if (!m_settings.features.ejectsOutliers) {
        return;
    }
    for (const TargetFailures &report : reports) {
        const KnownTarget *const target = m_targets.find(report.targetKey);
        if (target != nullptr && target->presence != TargetPresence::Gone) {
            m_health.outliers.recordReport(candidateOf(*target), hashText(peer) | 1, report, now);
        }
    }
}

} // namespace jasminequay
