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
}

} // namespace jasminequay
