#include "promises.h"

#include <algorithm>

namespace jasminequay::soak
{

/// Further breaches say nothing new.
constexpr std::size_t MaximumBreaches = 50;

Promises::Promises(std::size_t count, Bounds bounds)
    : instances(count)
    , m_bounds(bounds)
{
}

void Promises::disturb(std::size_t instance, TimePoint until)
{
    TimePoint &known = instances[instance].disturbedUntil;
    known = std::max(known, until);
}

void Promises::harm(std::size_t instance, TimePoint until)
{
    disturb(instance, until);
    TimePoint &known = instances[instance].harmedUntil;
    known = std::max(known, until);
}

void Promises::disturbAll(TimePoint until)
{
    coreDisturbedUntil = std::max(coreDisturbedUntil, until);
    for (std::size_t instance = 0; instance < instances.size(); ++instance) {
        harm(instance, until);
    }
}

bool Promises::isInTouch(std::size_t instance, TimePoint at) const
{
    const TimePoint disturbedUntil = std::max(instances[instance].disturbedUntil, coreDisturbedUntil);
    return at - disturbedUntil >= m_bounds.stable;
}

void Promises::onOpening(const TargetState &target, const Opening &opening, TimePoint now)
{
    InstanceState &instance = instances[opening.instance];
    const std::string where = format(opening.route) + " through instance " + std::to_string(opening.instance);
    const auto found = routes.find(opening.route);
    if (found == routes.end() || found->second.service != target.service) {
        breach(now, "ROUTE", where + " at a target of " + target.service);
        return;
    }
    const PublishedRoute &route = found->second;
    const bool isInTouchNow = isInTouch(opening.instance, now);
    if (route.droppedVersion != 0) {
        if (isInTouchNow && opening.sentAt > route.droppedAt + m_bounds.converge) {
            breach(now, "CONFIG", where + " was dropped");
        }
        const bool isRegress = instance.shownVersion >= route.droppedVersion
            && opening.sentAt > instance.shownAt + m_bounds.downgrade;
        if (isRegress) {
            breach(now, "CONFIG",
                where + " was dropped before version " + std::to_string(instance.shownVersion));
        }
    }
    const bool isLeaving = target.drainingAt != TimePoint{} && now > target.drainingAt + m_bounds.drain;
    if (isLeaving && isInTouchNow) {
        breach(now, "DRAIN", where + " at a leaving target");
    }
    const auto evacuation = evacuations.find(target.dataCentre);
    const bool isEvacuated = evacuation != evacuations.end() && evacuation->second.endedAt == TimePoint{}
        && opening.sentAt > evacuation->second.begunAt + m_bounds.converge;
    if (isEvacuated && isInTouchNow) {
        breach(now, "EVACUATE", where + " at a target of " + target.dataCentre);
    }
    if (route.addedVersion > instance.shownVersion) {
        instance.shownVersion = route.addedVersion;
        instance.shownAt = now;
    }
}

bool Promises::isAnyEvacuated(TimePoint now) const
{
    return std::any_of(evacuations.begin(), evacuations.end(), [&](const auto &item) {
        return item.second.endedAt == TimePoint{} || now - item.second.endedAt < m_bounds.converge;
    });
}

void Promises::onRefused(const Opening &opening, TimePoint now)
{
    const auto found = routes.find(opening.route);
    if (found == routes.end() || found->second.droppedVersion != 0 || isAnyEvacuated(now)) {
        return;
    }
    const PublishedRoute &route = found->second;
    const InstanceState &instance = instances[opening.instance];
    const std::string where = format(opening.route) + " by instance " + std::to_string(opening.instance);
    if (isInTouch(opening.instance, now) && opening.sentAt > route.addedAt + m_bounds.converge) {
        breach(now, "CONFIG", where + " is published and was refused");
    } else if (instance.shownVersion >= route.addedVersion
        && opening.sentAt > instance.shownAt + m_bounds.downgrade) {
        breach(now, "CONFIG", where + " was refused after version " + std::to_string(instance.shownVersion));
    }
}

void Promises::onForeignReset(const TargetState &target, Endpoint route, std::size_t instance, TimePoint now)
{
    const auto found = routes.find(route);
    const bool isDropped = found != routes.end() && found->second.droppedVersion != 0;
    const bool isUndisturbed = target.isAlive && now - target.disturbedUntil >= m_bounds.stable;
    if (!isDropped && isUndisturbed && isInTouch(instance, now)) {
        breach(now, "FLOW", format(route) + " was reset through instance " + std::to_string(instance));
    }
}

void Promises::onRun(Endpoint route, std::uint64_t request, TimePoint now)
{
    const auto found = routes.find(route);
    const bool mayRepeat = found == routes.end() || found->second.mayRepeat;
    if (!mayRepeat && !m_runs.insert(request).second) {
        breach(now, "ONCE", "request " + std::to_string(request) + " ran again");
    }
}

void Promises::onUnhandled(const Opening &opening, TimePoint now)
{
    const InstanceState &instance = instances[opening.instance];
    const bool wasReady = instance.readySince != TimePoint{} && instance.readySince <= opening.sentAt
        && instance.harmedUntil <= instance.readySince;
    const auto found = routes.find(opening.route);
    const bool isSettled = found != routes.end() && found->second.droppedVersion == 0
        && opening.sentAt > found->second.addedAt + m_bounds.converge;
    // It may have gone to a target that could not take it.
    const bool areTargetsWell = found != routes.end()
        && opening.sentAt - targetsDisturbedUntil[found->second.service] >= m_bounds.stable;
    if (wasReady && isSettled && areTargetsWell && !isAnyEvacuated(now)
        && now - opening.sentAt >= m_bounds.answer) {
        breach(now, "READY",
            format(opening.route) + " was neither sent on nor refused by instance "
                + std::to_string(opening.instance));
    }
}

void Promises::breach(TimePoint now, const std::string &rule, const std::string &what)
{
    if (m_breaches.size() < MaximumBreaches) {
        m_breaches.push_back({now, rule, what});
    }
}

} // namespace jasminequay::soak
