#include "jasminequay/Node/evacuationwatch.h"

#include "jasminequay/Support/logevent.h"

#include <algorithm>

namespace jasminequay
{

static std::size_t listedTargetsIn(const TargetDirectory &targets, const std::string &dataCentre)
{
    return static_cast<std::size_t>(
        std::count_if(targets.targets().begin(), targets.targets().end(), [&](const auto &item) {
            return item.second.presence == TargetPresence::Listed
                && item.second.record.dataCentre == dataCentre;
        }));
}

std::vector<std::string> EvacuationWatch::logTransitions(const TargetDirectory &targets)
{
    std::vector<std::string> ended;
    const EvacuationTable &evacuations = targets.evacuations();
    if (evacuations.changeCount() == m_seenChanges) {
        return ended;
    }
    m_seenChanges = evacuations.changeCount();
    for (const EvacuationRecord &record : evacuations.records()) {
        if (record.isActive == m_evacuated.contains(record.dataCentre)) {
            continue;
        }
        LogEvent(record.isActive ? Severity::Warning : Severity::Info,
            record.isActive ? "evacuation-begun" : "evacuation-ended")
            .with("data_centre", record.dataCentre)
            .with("revision", describeRevision(record.revision))
            .with("targets", listedTargetsIn(targets, record.dataCentre));
        if (record.isActive) {
            m_evacuated.insert(record.dataCentre);
        } else {
            m_evacuated.erase(record.dataCentre);
            ended.push_back(record.dataCentre);
        }
    }
    return ended;
}

} // namespace jasminequay
