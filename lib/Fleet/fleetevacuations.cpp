// The part of the fleet control that keeps the evacuations of data centres current.
#include "jasminequay/Fleet/fleetcontrol.h"

#include <algorithm>

namespace jasminequay
{

void FleetControl::applyEvacuations(const StoreAnswer &answer, TimePoint now)
{
    EvacuationTable &evacuations = m_engine.targets().evacuations();
    if (answer.update.isComplete) {
        evacuations.mergeAll(answer.update.evacuations, answer.update.revision, now);
    } else {
        evacuations.applyChanges(answer.update.evacuations, answer.update.revision, now);
    }
}

/// Merges the table that a peer sends with each message. A peer proves it to be complete only if it knows the
/// evacuations up to the revision to which the age of its status refers.
void FleetControl::mergeEvacuations(const DirectoryStatus &status, TimePoint now)
{
    m_engine.targets().evacuations().mergeAll(status.evacuations, status.evacuationsRevision, now);
    if (status.evacuationsRevision > 0 && status.evacuationsRevision >= status.revision) {
        markEvacuationsCurrentAt(now - status.age);
    }
}

void FleetControl::markEvacuationsCurrentAt(TimePoint at)
{
    m_evacuationsCurrentAt = std::max(m_evacuationsCurrentAt, at);
}

} // namespace jasminequay
