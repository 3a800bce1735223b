#include "jasminequay/Fleet/fleetcontrol.h"

#include <map>
#include <utility>

namespace jasminequay
{

/// Returns what an update changes here, so that peers need not fetch everything after a complete read.
DirectoryChanges FleetControl::changesOf(const DirectoryUpdate &update) const
{
    DirectoryChanges changes;
    changes.after = m_revision;
    changes.revision = std::max(m_revision, update.revision);
    changes.removals = update.removals;
    if (!update.isComplete) {
        changes.targets = update.targets;
        return changes;
    }
    std::map<std::string, const TargetRecord *> listed;
    for (const TargetRecord &record : update.targets) {
        listed[record.name] = &record;
    }
    std::map<std::string, std::uint64_t> known;
    for (const auto &[key, target] : m_engine.targets().targets()) {
        if (target.presence != TargetPresence::Listed) {
            continue;
        }
        known[target.record.name] = target.record.revision;
        if (!listed.contains(target.record.name)) {
            changes.removals.push_back({target.record.name, update.revision});
        }
    }
    for (const auto &[name, record] : listed) {
        const auto before = known.find(name);
        if (before == known.end() || before->second < record->revision) {
            changes.targets.push_back(*record);
        }
    }
    return changes;
}

DirectoryImage FleetControl::image(std::uint64_t after, std::uint64_t routesVersion, TimePoint now)
{
    DirectoryImage image;
    after = after < m_engine.targets().removalsKnownSince() ? 0 : after;
    image.after = after;
    image.age = now - m_engine.currentAt();
    image.update.revision = m_revision;
    image.update.isComplete = after == 0;
    if (after == 0 || routesVersion < m_engine.routes().configuration().version) {
        image.update.routes = m_engine.routes().configuration();
    }
    image.update.removals = m_engine.targets().removalsAfter(after);
    for (const auto &[key, target] : m_engine.targets().targets()) {
        if (target.record.revision <= after) {
            continue;
        }
        TargetRecord record = target.record;
        record.warmUpLeft = std::max<Duration>(target.warmAt - now, Duration::zero());
        const bool isGone = target.presence == TargetPresence::Gone;
        (isGone ? image.update.tombstones : image.update.targets).push_back(std::move(record));
    }
    return image;
}

FleetActions FleetControl::onImage(const DirectoryImage &image, TimePoint now)
{
    const TimePoint askedAt = std::exchange(m_fetchingSince, TimePoint{});
    const bool isUseful = image.update.revision >= m_revision && image.after <= m_revision
        && (image.update.routes || m_isLoaded);
    if (!isUseful) {
        return {};
    }
    const Progress before = progress();
    apply(image.update, now);
    m_needsAll = false;
    // The answer may have waited here while the instance slept: its age counts from the question on.
    if (askedAt != TimePoint{}) {
        m_engine.noteCurrent(askedAt - image.age);
    }
    FleetActions actions;
    if (m_isFetchingElsewhere) {
        relay(before, actions, now);
    } else if (std::vector<Endpoint> below = children(); !below.empty()) {
        actions.news.push_back({std::move(below), newsWith(ownEntry(), now)});
    }
    return actions;
}

void FleetControl::onFetchFailed(TimePoint now)
{
    m_fetchingSince = TimePoint{};
    m_fetchFailedAt = now;
}

} // namespace jasminequay
