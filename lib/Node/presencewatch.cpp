#include "jasminequay/Node/presencewatch.h"

#include "jasminequay/Support/logevent.h"

namespace jasminequay
{

static void logTransition(const KnownTarget &target)
{
    const bool isEnded = target.presence == TargetPresence::Gone;
    LogEvent event(Severity::Info, isEnded ? "target-ended" : "target-returned");
    event.with("target", target.record.name)
        .with("started_ms", target.record.identity.startedAt)
        .with("revision", describeRevision(target.record.revision));
    if (isEnded) {
        event.with("why", targetEndName(target.end)).with("flows", target.openFlows);
    }
}

void PresenceWatch::logTransitions(TargetDirectory &targets)
{
    for (auto position = m_ended.begin(); position != m_ended.end();) {
        const KnownTarget *const target = targets.find(*position);
        if (target != nullptr && target->presence == TargetPresence::Gone) {
            ++position;
            continue;
        }
        if (target != nullptr) {
            logTransition(*target);
        }
        position = m_ended.erase(position);
    }
    for (const std::uint64_t key : targets.watched()) {
        const KnownTarget &target = *targets.find(key);
        if (target.presence == TargetPresence::Gone && m_ended.insert(key).second) {
            logTransition(target);
        }
    }
}

} // namespace jasminequay
