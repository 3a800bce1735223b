#include "jasminequay/Node/loadwatch.h"

#include "jasminequay/Support/logevent.h"

namespace jasminequay
{

void LoadWatch::logTransitions(const SteeringEngine &engine, TimePoint now)
{
    for (const auto &[key, load] : engine.serviceLoads()) {
        const bool isOverloaded = load.isOverloaded(now);
        const bool wasOverloaded = m_overloaded.contains(key);
        if (isOverloaded == wasOverloaded) {
            continue;
        }
        LogEvent event(isOverloaded ? Severity::Warning : Severity::Info,
            isOverloaded ? "overload-begun" : "overload-ended");
        event.with("service", key.first).with("data_centre", key.second);
        event.with("objective_share", load.objectiveShare(now));
        if (isOverloaded) {
            event.with("limit", load.limit());
            m_overloaded.insert(key);
        } else {
            m_overloaded.erase(key);
        }
    }
    logAdmission(engine, now);
}

void LoadWatch::logAdmission(const SteeringEngine &engine, TimePoint now)
{
    for (const auto &[key, admission] : engine.admissions()) {
        const bool isLimited = admission.isLimited(now);
        if (isLimited == m_limited.contains(key)) {
            continue;
        }
        LogEvent event(isLimited ? Severity::Warning : Severity::Info,
            isLimited ? "admission-limited" : "admission-unlimited");
        event.with("service", key.first).with("data_centre", key.second);
        event.with("turned_away_share", admission.turnedAwayShare(now));
        event.with("delay_ratio", admission.delayRatio(now));
        if (isLimited) {
            event.with("limit_per_second", admission.limit());
            m_limited.insert(key);
        } else {
            m_limited.erase(key);
        }
    }
}

} // namespace jasminequay
