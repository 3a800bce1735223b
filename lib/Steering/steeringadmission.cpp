// The part of the engine that admits new flows by priority.
#include "jasminequay/Steering/steeringengine.h"

#include <algorithm>

namespace jasminequay
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How long an answer is waited for. A request that waits in the queue of a target is answered within its
/// objective; routes without one get the upper bound.
constexpr Duration MinimumPatience = milliseconds(300);
constexpr Duration MaximumPatience = seconds(1);

/// Returns the admission at the service and data centre of a target; null unless the settings ask for it.
PriorityAdmission *SteeringEngine::admissionAt(const TargetRecord &target)
{
    if (!m_settings.features.admitsByPriority) {
        return nullptr;
    }
    const auto found = m_admissions.find(std::pair(target.service, target.dataCentre));
    if (found != m_admissions.end()) {
        return &found->second;
    }
    PriorityAdmission &added = m_admissions[{target.service, target.dataCentre}];
    // Few flows go to other data centres in calm times, too few to learn the usual answer times there.
    const auto local = m_admissions.find(std::pair(target.service, m_settings.dataCentre));
    if (local != m_admissions.end() && target.dataCentre != m_settings.dataCentre) {
        added.copyUsualTimes(local->second);
    }
    return &added;
}

/// Returns whether a new flow may be sent to a target's data centre while capacity is short. A flow counts as
/// demand where it was first offered.
bool SteeringEngine::admitsByPriority(
    const Route &route, const TargetRecord &target, std::uint64_t flowHash, bool isFirstChoice, TimePoint now)
{
    PriorityAdmission *const admission = admissionAt(target);
    if (admission == nullptr) {
        return true;
    }
    return isFirstChoice ? admission->admits(route.priority, flowHash, now)
                         : admission->admitsSpilled(route.priority, now);
}

/// Records that an opening packet or the begin of a request was sent to a target.
void SteeringEngine::recordSent(
    const SteeredFlow &flow, const KnownTarget &target, bool isOpening, TimePoint now)
{
    PriorityAdmission *const admission = admissionAt(target.record);
    if (admission == nullptr) {
        return;
    }
    const Route *const route = m_routes.at(flow.service);
    const Duration objective = route == nullptr ? Duration::zero() : route->objective;
    const Duration patience = objective > Duration::zero() ? objective : MaximumPatience;
    admission->recordSent({flow.hash(), target.key, flow.service.packed(),
                              std::clamp(patience, MinimumPatience, MaximumPatience), isOpening},
        now);
}

} // namespace jasminequay
