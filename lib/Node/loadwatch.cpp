#include "jasminequay/Node/loadwatch.h"

#include "jasminequay/Support/logevent.h"

namespace jasminequay
{

void LoadWatch::look(const SteeringEngine &engine, TimePoint now)
{
    for (const auto &[place, load] : engine.serviceLoads()) {
        const bool isOverloaded = load.isOverloaded(now);
        const bool wasOverloaded = m_overloaded.contains(place);
        if (isOverloaded == wasOverloaded) {
            continue;
        }
        LogEvent event(isOverloaded ? Severity::Warning : Severity::Info,
            isOverloaded ? "overload-begun" : "overload-ended");
        event.with("service", place.first).with("data_centre", place.second);
        event.with("objective_share", load.objectiveShare(now));
        if (isOverloaded) {
            event.with("limit", load.limit());
            m_overloaded.insert(place);
        } else {
            m_overloaded.erase(place);
        }
    }
}

} // namespace jasminequay
