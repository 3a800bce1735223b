// The part of the engine that counts requests under way and finds room for new flows.
#include "jasminequay/Steering/steeringengine.h"
#include "jasminequay/Steering/targetchoice.h"

namespace jasminequay
{

using std::chrono::milliseconds;

/// A target that works moves some flow on within this time; requests at one that does not may hang.
constexpr Duration ProgressTime = milliseconds(300);

/// What an instance may have under way in another data centre while its own is full, as a multiple of its
/// part of the slots there.
constexpr double SpillRoom = 2;

void SteeringEngine::beginRequest(FlowState &state, KnownTarget &target, TimePoint now)
{
    state.requestAt = now;
    if (!state.isUnderWay) {
        state.isUnderWay = true;
        target.pace.noteRequest();
    }
}

/// Ends the request under way, if there is one, and learns from the time that it took.
void SteeringEngine::endRequest(const SteeredFlow &flow, FlowState &state, KnownTarget &target, TimePoint now)
{
    if (!state.isUnderWay) {
        return;
    }
    state.isUnderWay = false;
    target.pace.noteEnd();
    const Route *const route = m_routes.at(flow.service);
    if (route == nullptr || route->objective <= Duration::zero()) {
        return;
    }
    const double share = std::chrono::duration<double>(now - state.requestAt)
        / std::chrono::duration<double>(route->objective);
    target.pace.noteAnswer(share, now);
    ServiceLoad &load
        = m_loads.try_emplace({target.record.service, target.record.dataCentre}, m_settings.loadLimits)
              .first->second;
    if (load.noteAnswer(share, now)) {
        const RequestsUnderWay here = underWayAt(target.record, now);
        load.endInterval(here.count, here.slots, now);
    }
}

/// Counts the requests at the targets of a service that are in the same data centre as `target`. Those at a
/// target where nothing moves are left out: they may hang there, and it has no room that they could take up.
SteeringEngine::RequestsUnderWay SteeringEngine::underWayAt(const TargetRecord &target, TimePoint now)
{
    RequestsUnderWay found;
    for (const KnownTarget *const other : m_targets.ofService(target.service)) {
        if (other->record.dataCentre != target.dataCentre) {
            continue;
        }
        if (now - other->evidence.progressAt() <= ProgressTime) {
            found.count += other->pace.underWay();
        }
        found.slots += other->record.isDraining ? 0 : other->record.slots;
    }
    const std::size_t sharers = target.dataCentre == m_settings.dataCentre ? m_instances : m_allInstances;
    found.slots = std::max(found.slots / static_cast<double>(sharers), 1.0);
    return found;
}

/// Tells whether one more flow may open at a target's service and data centre: one that could only wait
/// behind others, beyond its objective, is better sent elsewhere, or told so at once. `isSpilled` says that
/// the own data centre is full; others then take a bounded part of what it cannot.
bool SteeringEngine::admits(const Route &route, const TargetRecord &target, bool isSpilled, TimePoint now)
{
    const auto load = m_loads.find(std::pair(target.service, target.dataCentre));
    const bool isOverloaded = load != m_loads.end() && load->second.isOverloaded(now);
    if (!isOverloaded && !isSpilled) {
        return true;
    }
    const RequestsUnderWay here = underWayAt(target, now);
    const bool isWithinSpill = !isSpilled || here.count < SpillRoom * here.slots;
    const std::uint32_t levelsAbove = m_routes.lowestPriority(target.service) - route.priority;
    return isWithinSpill && (!isOverloaded || load->second.admits(here.count, levelsAbove, now));
}

/// Selects a target and one of its tokens. A target all of whose tokens are shared is passed over, and so are
/// the targets of a data centre that has no room, as long as another one has good ones.
SteeringEngine::Placement SteeringEngine::place(
    const Route &route, const PacketSummary &packet, std::uint64_t avoided, TimePoint now)
{
    const std::uint64_t flowHash = packet.flow.hash();
    const bool isNew = packet.openingCopy == 0;
    Placement placement;
    for (const WeightedService *const service : serviceOrder(route, flowHash)) {
        ChoiceRequest request{flowHash, avoided, m_settings.dataCentre, {}};
        unsigned collisions = 0;
        while (
            KnownTarget *const target = chooseTarget(m_targets.ofService(service->service), request, now)) {
            if (!request.full.empty() && target->evidence.verdict(now) != TargetVerdict::Healthy) {
                break;
            }
            const bool isSpilled = !request.full.empty() && request.full.front() == m_settings.dataCentre;
            if (isNew && !admits(route, target->record, isSpilled, now)) {
                request.full.push_back(target->record.dataCentre);
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
            request.avoided = target->key;
        }
        if (!request.full.empty()) {
            placement.isFull = true;
            return placement;
        }
    }
    return placement;
}

} // namespace jasminequay
