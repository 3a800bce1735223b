// What each fault does to the system.
#include "soakrun.h"

#include <algorithm>
#include <cstdio>

namespace jasminequay::soak
{

using std::chrono::milliseconds;

constexpr Duration RestartAfterKill = milliseconds(300);
constexpr Duration HeartbeatsMissed = milliseconds(3000);
constexpr Duration ReuseDelay = milliseconds(2000);
constexpr Duration LongestLapse = milliseconds(1500);
constexpr Duration LeavesFor = milliseconds(5000);

/// When the routes of a change are tried through each instance, after the change.
constexpr Duration RouteProbeDelay = milliseconds(3300);

void SoakRun::until(TimePoint at, std::function<void()> end)
{
    m_endings.push_back({at, std::move(end)});
}

void SoakRun::apply(const Fault &fault, TimePoint now)
{
    std::printf("%s\n", describe(fault).c_str());
    if (fault.kind == FaultKind::RouteAdded || fault.kind == FaultKind::RouteDropped) {
        changeRoutes(fault, now);
        return;
    }
    if (!applyToInstance(fault, now) && !applyToStore(fault, now) && !applyToPeers(fault, now)) {
        applyToTarget(fault, now);
    }
}

bool SoakRun::applyToInstance(const Fault &fault, TimePoint now)
{
    const std::size_t index = fault.choice % m_instances.size();
    SoakInstance &instance = *m_instances[index];
    const TimePoint end = now + fault.lasts;
    switch (fault.kind) {
    case FaultKind::InstanceKilled:
        m_promises.harm(index, now);
        instance.kill(now + RestartAfterKill + fault.lasts / 4);
        return true;
    case FaultKind::AllInstancesKilled:
        for (std::size_t each = 0; each < m_instances.size(); ++each) {
            m_promises.harm(each, now);
            m_instances[each]->kill(now + RestartAfterKill + milliseconds(fault.choice % 17 * each));
        }
        return true;
    case FaultKind::InstancePaused:
        m_promises.harm(index, end);
        instance.pause(end);
        return true;
    case FaultKind::InstanceStopped:
        m_promises.harm(index, now);
        instance.stop(now);
        return true;
    case FaultKind::ClockStepped:
        m_promises.disturb(index, now);
        instance.stepClock(
            milliseconds(fault.choice / 7 % 20000) - milliseconds(10000), fault.choice % 2 == 0);
        return true;
    case FaultKind::SettingsTouched:
        instance.stepClock(Duration{}, fault.choice % 2 == 0);
        return true;
    case FaultKind::CallersLinkHarmed: {
        m_promises.harm(index, end);
        m_fabric->link(index).setFault({fault.choice % 5 == 0, 0.1, 0.1, milliseconds(fault.choice % 60)});
        until(end, [this, index]() { m_fabric->link(index).setFault({}); });
        return true;
    }
    default:
        return false;
    }
}

void SoakRun::disturbStore(TimePoint end)
{
    m_promises.coreDisturbedUntil = std::max(m_promises.coreDisturbedUntil, end);
}

bool SoakRun::applyToStore(const Fault &fault, TimePoint now)
{
    const std::size_t index = fault.choice % m_instances.size();
    const TimePoint end = now + fault.lasts;
    const auto harmLink = [&](TcpMood mood) {
        m_promises.disturb(index, end);
        m_storeLinks[index]->setMood(mood);
        until(end, [this, index]() { m_storeLinks[index]->setMood(TcpMood::Well); });
    };
    const auto harmStore = [&](platform::StoreMood mood) {
        disturbStore(end);
        m_store.mood = mood;
        until(end, [this]() { m_store.mood = platform::StoreMood::Well; });
    };
    switch (fault.kind) {
    case FaultKind::StoreLinkSlow:
        harmLink(TcpMood::Slow);
        return true;
    case FaultKind::StoreLinkResets:
        harmLink(TcpMood::Resets);
        return true;
    case FaultKind::StoreLinkSilent:
        harmLink(TcpMood::Silent);
        return true;
    case FaultKind::StoreAnswersLost:
        harmLink(TcpMood::AnswersLost);
        return true;
    case FaultKind::StoreConnectionsSilenced:
        // Counts as a reset of the connections of all instances.
        for (std::size_t each = 0; each < m_instances.size(); ++each) {
            m_promises.disturb(each, now);
            m_storeLinks[each]->silenceOpenConnections();
        }
        return true;
    case FaultKind::StoreRefuses:
        harmStore(fault.choice % 2 == 0 ? platform::StoreMood::TurnsAway : platform::StoreMood::TooMany);
        return true;
    case FaultKind::StoreDown:
        harmStore(fault.choice % 2 == 0 ? platform::StoreMood::Resets : platform::StoreMood::Silent);
        return true;
    case FaultKind::StoreForgets:
        disturbStore(now);
        m_store.forgetHistory();
        return true;
    default:
        return false;
    }
}

bool SoakRun::applyToPeers(const Fault &fault, TimePoint now)
{
    const std::size_t count = m_instances.size();
    const std::size_t index = fault.choice % count;
    const TimePoint end = now + fault.lasts;
    const auto harmPair = [this, end](std::size_t from, std::size_t to, const LinkFault &harm) {
        m_promises.disturb(from, end);
        m_promises.disturb(to, end);
        m_mesh->link(from, to).setFault(harm);
        until(end, [this, from, to]() { m_mesh->link(from, to).setFault({}); });
    };
    switch (fault.kind) {
    case FaultKind::PeersCutOneWay:
        harmPair(index, (index + 1 + fault.choice / count % (count - 1)) % count, {true, 0, 0, {}});
        return true;
    case FaultKind::PeersHarmed:
        for (std::size_t other = 0; other < count; ++other) {
            if (other != index) {
                harmPair(index, other, {false, 0.3, 0.2, milliseconds(100)});
                harmPair(other, index, {false, 0.3, 0.2, milliseconds(100)});
            }
        }
        return true;
    case FaultKind::DataCentresCut:
        for (std::size_t from = 0; from < count; ++from) {
            for (std::size_t to = (from + 1) % 2; to < count; to += 2) {
                harmPair(from, to, {true, 0, 0, {}});
            }
        }
        return true;
    case FaultKind::FetchesHarmed:
        m_promises.disturb(index, end);
        m_mesh->connectionsTo(index).setMood(fault.choice % 2 == 0 ? TcpMood::Resets : TcpMood::Silent);
        until(end, [this, index]() { m_mesh->connectionsTo(index).setMood(TcpMood::Well); });
        return true;
    default:
        return false;
    }
}

void SoakRun::endTarget(RunningTarget &running, TimePoint now)
{
    const std::string name = running.target->name();
    running.target.reset();
    running.state.isAlive = false;
    running.state.disturbedUntil = now;
    running.endsAt = TimePoint{};
    if (running.state.drainingAt != TimePoint{}) {
        m_publication.removeTarget(name);
    } else {
        until(now + HeartbeatsMissed, [this, name]() {
            const bool isBack = std::any_of(m_targets.begin(), m_targets.end(),
                [&name](const RunningTarget &other) { return other.target && other.target->name() == name; });
            if (!isBack) {
                m_publication.removeTarget(name);
            }
        });
    }
}

void SoakRun::applyToTarget(const Fault &fault, TimePoint now)
{
    const std::size_t place = fault.choice % m_targets.size();
    RunningTarget &running = m_targets[place];
    if (fault.kind == FaultKind::EntryGarbled) {
        // Another digit of the choice than those that select the entry and the target.
        if (running.target && fault.choice / 1024 % 2 == 0) {
            m_publication.putForeignEntry(running.target->address(), fault.choice);
        } else {
            m_publication.putGarbage(fault.choice);
        }
        return;
    }
    const auto others
        = std::count_if(m_targets.begin(), m_targets.end(), [&running](const RunningTarget &other) {
              return other.target && other.endsAt == TimePoint{}
              && other.state.service == running.state.service;
          });
    // A target is struck by one thing at a time, and two of a service stay well.
    if (!running.target || running.endsAt != TimePoint{} || others < 3) {
        return;
    }
    const Endpoint at = running.target->address();
    const std::string service = running.state.service;
    // Until its successor serves.
    m_promises.targetsDisturbedUntil[service] = now + HeartbeatsMissed + fault.lasts;
    const std::string name = running.target->name();
    switch (fault.kind) {
    case FaultKind::TargetKilled:
        endTarget(running, now);
        until(now + HeartbeatsMissed + fault.lasts,
            [this, place, service, at]() { startTarget(place, service, {}, at); });
        break;
    case FaultKind::TargetLeaves:
        running.state.drainingAt = now;
        running.endsAt = now + LeavesFor + fault.lasts / 4;
        m_publication.putTarget(running);
        break;
    case FaultKind::TargetRestarts:
        endTarget(running, now);
        until(now + milliseconds(300),
            [this, place, service, name, at]() { startTarget(place, service, name, at); });
        break;
    case FaultKind::TargetReplaced:
        endTarget(running, now);
        until(now + ReuseDelay, [this, place, service, at]() {
            startTarget(place, service == "desk" ? "guides" : "desk", {}, at);
        });
        break;
    case FaultKind::TargetSilent:
        running.target->setSilent(true);
        running.state.disturbedUntil = now + fault.lasts;
        until(now + fault.lasts, [this, place, name]() {
            if (m_targets[place].target && m_targets[place].target->name() == name) {
                m_targets[place].target->setSilent(false);
            }
        });
        break;
    case FaultKind::EntryLapsed:
        m_publication.removeTarget(name);
        until(now + std::min(fault.lasts, LongestLapse), [this, place, name]() {
            if (m_targets[place].target && m_targets[place].target->name() == name) {
                m_publication.putTarget(m_targets[place]);
            }
        });
        break;
    default:
        break;
    }
}

void SoakRun::changeRoutes(const Fault &fault, TimePoint now)
{
    const std::vector<Endpoint> routes = m_publication.settledRoutes(now);
    Endpoint route;
    if (fault.kind == FaultKind::RouteAdded || routes.size() < 3) {
        route = m_publication.addRoute(fault.choice % 2 == 0 ? "desk" : "guides", fault.choice % 3 != 0, now);
    } else {
        route = routes[fault.choice % routes.size()];
        m_publication.dropRoute(route, now);
        m_callers->forgetRoute(route);
    }
    for (unsigned repeat = 0; repeat < 4; ++repeat) {
        const TimePoint at = now + RouteProbeDelay + repeat * milliseconds(700);
        m_routeProbes.push_back({at, [this, route]() {
                                     probeRoute(route, m_tickedAt);
                                 }});
    }
}

void SoakRun::probeRoute(Endpoint route, TimePoint now)
{
    for (std::size_t instance = 0; instance < m_instances.size(); ++instance) {
        if (m_fabric->isReady(instance)) {
            m_callers->probe(route, instance, now);
        }
    }
}

} // namespace jasminequay::soak
