// The part of the engine that counts requests in flight and admits new flows.
#include "jasminequay/Steering/steeringengine.h"
#include "jasminequay/Steering/targetchoice.h"

namespace jasminequay
{

using std::chrono::milliseconds;

/// At a working target some flow makes progress within this time; requests at any other target may hang.
constexpr Duration ProgressWindow = milliseconds(300);

/// The requests that an instance may have in flight in another data centre while its own is full, as a
/// multiple of its part of the slots there.
constexpr double SpillFactor = 2;

void SteeringEngine::beginRequest(FlowState &state, KnownTarget &target, TimePoint now)
{
    state.requestStartedAt = now;
    if (!state.isRequestInFlight) {
        state.isRequestInFlight = true;
        target.pace.recordRequest();
    }
}

/// Returns what the size and time of an answer say about it; nothing unless a feature needs it.
AnswerVerdict SteeringEngine::judgeAnswer(
    const SteeredFlow &flow, std::uint32_t answerBytes, Duration time, TimePoint now)
{
    const SteeringFeatures &features = m_settings.features;
    if (!features.ejectsOutliers && !features.admitsByPriority) {
        return AnswerVerdict::Unknown;
    }
    return m_answerQualities[flow.service.packed()].record(answerBytes, time, now);
}

/// Ends the request in flight, if there is one, and records its response time.
void SteeringEngine::endRequest(
    const SteeredFlow &flow, FlowState &state, KnownTarget &target, std::uint32_t answerBytes, TimePoint now)
{
    PriorityAdmission *const admission = admissionAt(target.record);
    if (!state.isRequestInFlight) {
        if (admission != nullptr) {
            admission->recordSettled(flow.hash(), now);
        }
        return;
    }
    state.isRequestInFlight = false;
    target.pace.recordRequestEnd();
    const Duration time = now - state.requestStartedAt;
    const AnswerVerdict verdict = judgeAnswer(flow, answerBytes, time, now);
    if (admission != nullptr) {
        const bool isFailed = verdict == AnswerVerdict::Failed;
        admission->recordAnswer({flow.hash(), target.key, flow.service.packed(), time, isFailed}, now);
    }
    const Route *const route = m_routes.at(flow.service);
    if (route == nullptr || route->objective <= Duration::zero()) {
        return;
    }
    recordOutcome(flow, state, target, verdict, now);
    const double share = std::chrono::duration<double>(now - state.requestStartedAt)
        / std::chrono::duration<double>(route->objective);
    target.pace.recordResponse(share, now);
    ServiceLoad &load
        = m_loads.try_emplace({target.record.service, target.record.dataCentre}, m_settings.loadLimits)
              .first->second;
    if (load.recordResponse(share, now)) {
        const InFlightRequests requests = inFlightAt(target.record, now);
        load.endInterval(requests.count, requests.slots, now);
    }
}

/// Counts the requests in flight at the targets of a service that are in the same data centre as `target`.
/// Requests at a target without progress are left out: they may hang there and use no capacity of the others.
SteeringEngine::InFlightRequests SteeringEngine::inFlightAt(const TargetRecord &target, TimePoint now)
{
    InFlightRequests found;
    for (const KnownTarget *const other : m_targets.targetsOfService(target.service)) {
        if (other->record.dataCentre != target.dataCentre) {
            continue;
        }
        if (now - other->evidence.progressAt() <= ProgressWindow) {
            found.count += other->pace.inFlight();
        }
        found.slots += other->record.isDraining ? 0 : other->record.slots;
    }
    const std::size_t sharingInstances
        = target.dataCentre == m_settings.dataCentre ? m_dataCentreInstances : m_allInstances;
    found.slots = std::max(found.slots / static_cast<double>(sharingInstances), 1.0);
    return found;
}

/// Returns whether another flow may open at a target's service and data centre. A flow whose requests would
/// wait in a queue beyond their objective is better sent to another data centre, or refused at once.
/// `isSpilled` means that this instance's data centre is full; the others then take a bounded part of its
/// excess.
bool SteeringEngine::admits(const Route &route, const TargetRecord &target, bool isSpilled, TimePoint now)
{
    const auto load = m_loads.find(std::pair(target.service, target.dataCentre));
    const bool isOverloaded = load != m_loads.end() && load->second.isOverloaded(now);
    if (!isOverloaded && !isSpilled) {
        return true;
    }
    const InFlightRequests requests = inFlightAt(target, now);
    const bool isWithinSpill = !isSpilled || requests.count < SpillFactor * requests.slots;
    const std::uint32_t levelsAboveLowest = m_routes.lowestPriority(target.service) - route.priority;
    return isWithinSpill && (!isOverloaded || load->second.admits(requests.count, levelsAboveLowest, now));
}

/// Returns whether there is no sign that a target does not answer. Only such a target gets the flows that
/// another data centre has no room for.
static bool isProved(const KnownTarget &target, const ChoiceRequest &request, TimePoint now)
{
    return target.evidence.verdict(now) == TargetVerdict::Healthy && !request.isUnanswering(target, now);
}

void SteeringEngine::restartWarmUp(const std::string &dataCentre, TimePoint now)
{
    for (const auto &[key, target] : m_targets.targets()) {
        if (target.record.dataCentre == dataCentre) {
            m_targets.markCold(key, m_coldTargets.warmUpOf(target.record.service), now);
        }
    }
}

/// Returns whether an opening packet that was seen before counts as another one at its target. Only one that
/// arrives at once is surely a duplicate.
bool SteeringEngine::needsRoom(const FlowState &state, const KnownTarget &target, TimePoint now)
{
    return now - state.seenAt >= MinimumRetransmissionInterval && m_coldTargets.isLimitedNow(target, now);
}

/// Leaves the cold targets without room out of a choice, and counts the opening if it would have gone to one.
void SteeringEngine::leaveOutColdTargets(ChoiceRequest &request, const std::string &service, TimePoint now)
{
    const std::vector<KnownTarget *> &targets = m_targets.targetsOfService(service);
    request.areColdLimited = m_coldTargets.isLimited(service);
    std::vector<std::uint64_t> withoutRoom = m_coldTargets.withoutRoom(service, targets, now);
    if (withoutRoom.empty()) {
        return;
    }
    const KnownTarget *const preferred = chooseTarget(targets, request, now);
    request.withoutRoom = std::move(withoutRoom);
    if (preferred != nullptr && request.isLeftOut(*preferred)) {
        m_coldTargets.recordPassedOver(service, now);
    }
}

/// Returns the parameters of a choice among the targets of a service.
ChoiceRequest SteeringEngine::choiceRequest(
    const Route &route, const std::string &service, std::uint64_t flowHash, TimePoint now)
{
    const Duration patience = m_openingPatience.value();
    const std::vector<std::string> silent = m_targets.silentDataCentres(m_settings.dataCentre, patience, now);
    ChoiceRequest request{
        flowHash, 0, m_settings.dataCentre, {}, patience, silent, evacuatedDataCentres(service, silent, now)};
    addHealth(route, request);
    return request;
}

/// Selects a target and one of its tokens. A target is skipped if all its tokens are shared; so are the
/// targets of an overloaded data centre as long as another one has healthy targets, and cold targets without
/// room.
SteeringEngine::Placement SteeringEngine::place(
    const Route &route, const PacketSummary &packet, std::uint64_t avoidedTarget, TimePoint now)
{
    const std::uint64_t flowHash = packet.flow.hash();
    const bool isNew = packet.openingCopy == 0;
    Placement placement;
    const std::string *limitedService = nullptr;
    for (const WeightedService *const service : serviceOrder(route, flowHash)) {
        ChoiceRequest request = choiceRequest(route, service->service, flowHash, now);
        request.avoidedTarget = avoidedTarget;
        const std::vector<KnownTarget *> &targets = m_targets.targetsOfService(service->service);
        leaveOutColdTargets(request, service->service, now);
        if (!request.withoutRoom.empty()) {
            limitedService = &service->service;
        }
        unsigned collisions = 0;
        while (KnownTarget *const target = chooseTarget(targets, request, now)) {
            if (!request.withoutRoom.empty() && target->evidence.isLost(now)) {
                break;
            }
            if (!request.fullDataCentres.empty() && !isProved(*target, request, now)) {
                break;
            }
            const bool isSpilled = !request.fullDataCentres.empty()
                && request.fullDataCentres.front() == m_settings.dataCentre;
            const bool isFirstChoice = request.fullDataCentres.empty();
            if (isNew
                && !(admitsByPriority(route, target->record, flowHash, isFirstChoice, now)
                    && admits(route, target->record, isSpilled, now))) {
                request.fullDataCentres.push_back(target->record.dataCentre);
                continue;
            }
            placement.token = m_targets.tokenFor(*target, flowHash);
            if (placement.token != NoToken) {
                placement.target = target;
                return placement;
            }
            if (++collisions == 2) {
                break;
            }
            request.avoidedTarget = target->key;
        }
        if (!request.fullDataCentres.empty()) {
            placement.isFull = true;
            ++m_refusedByPriority[route.priority];
            return placement;
        }
        placement.isEvacuated = placement.isEvacuated || hasEvacuatedTarget(service->service);
    }
    if (limitedService != nullptr) {
        m_coldTargets.recordRefused(*limitedService);
        placement.isFull = true;
    }
    return placement;
}

/// Returns the data centres whose targets get no new flows. An instance that hears neither from the store nor
/// from any other data centre still uses the targets of its own one: nothing else can serve its callers.
std::vector<std::string> SteeringEngine::evacuatedDataCentres(
    const std::string &service, const std::vector<std::string> &silent, TimePoint now)
{
    std::vector<std::string> evacuated = m_targets.evacuations().evacuatedDataCentres();
    const auto own = std::find(evacuated.begin(), evacuated.end(), m_settings.dataCentre);
    const bool hearsFromStore = now - m_targets.observedAt() <= m_settings.refusalAge;
    if (own == evacuated.end() || hearsFromStore) {
        return evacuated;
    }
    bool isCutOff = false;
    for (const KnownTarget *const target : m_targets.targetsOfService(service)) {
        const std::string &dataCentre = target->record.dataCentre;
        if (m_targets.evacuations().isEvacuated(dataCentre)) {
            continue;
        }
        const bool isSilent = std::find(silent.begin(), silent.end(), dataCentre) != silent.end();
        if (!isSilent && !target->evidence.isLost(now)) {
            return evacuated;
        }
        isCutOff = true;
    }
    if (isCutOff) {
        evacuated.erase(own);
    }
    return evacuated;
}

/// Returns whether a target of a service gets no new flows only because its data centre is evacuated.
bool SteeringEngine::hasEvacuatedTarget(const std::string &service)
{
    const EvacuationTable &evacuations = m_targets.evacuations();
    const std::vector<KnownTarget *> &targets = m_targets.targetsOfService(service);
    return !evacuations.evacuatedDataCentres().empty()
        && std::any_of(targets.begin(), targets.end(), [&](const KnownTarget *target) {
               return !target->record.isDraining && evacuations.isEvacuated(target->record.dataCentre);
           });
}

} // namespace jasminequay
