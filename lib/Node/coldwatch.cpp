#include "jasminequay/Node/coldwatch.h"

#include "jasminequay/Support/logevent.h"

namespace jasminequay
{

void ColdWatch::tick(SteeringEngine &engine, const MemberTable &members, TimePoint now)
{
    if (members.membershipVersion() != m_membershipVersion) {
        m_membershipVersion = members.membershipVersion();
        passOnInstances(engine, members, now);
    }
    if (now - m_expiredAt >= ExpiryInterval) {
        m_expiredAt = now;
        engine.coldTargets().expire(now);
    }
    logTransitions(engine.coldTargets(), now);
}

/// Passes on the other instances of the own data centre, whether they answer or not.
void ColdWatch::passOnInstances(SteeringEngine &engine, const MemberTable &members, TimePoint now)
{
    std::vector<RosterEntry> others;
    for (const auto &[name, member] : members.members()) {
        if (member.hasBeenHeard && member.known.dataCentre == members.self().dataCentre) {
            others.push_back({name, member.known.phase == MemberPhase::Leaving});
        }
    }
    engine.coldTargets().setInstances(others, now);
}

void ColdWatch::logTransitions(const ColdTargetLimit &limit, TimePoint now)
{
    for (const auto &[service, counters] : limit.counters()) {
        const bool isActive = now - counters.passedOverAt < QuietTime;
        const auto active = m_active.find(service);
        if (isActive == (active != m_active.end())) {
            continue;
        }
        if (isActive) {
            LogEvent(Severity::Info, "cold-limit-begun").with("service", service);
            m_active[service] = counters;
            continue;
        }
        LogEvent(Severity::Info, "cold-limit-ended")
            .with("service", service)
            .with("passed_over", counters.passedOver - active->second.passedOver)
            .with("refused", counters.refused - active->second.refused);
        m_active.erase(active);
    }
}

} // namespace jasminequay
