#include "jasminequay/Fleet/fleetcontrol.h"

#include <map>
#include <set>
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
    changes.completeReadRevision = changes.revision;
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

ListingChecksum FleetControl::listedUpTo(std::uint64_t revision, const DirectoryUpdate &told) const
{
    std::set<std::string> names;
    std::set<std::uint64_t> ended;
    for (const TargetRecord &record : told.targets) {
        names.insert(record.name);
    }
    for (const TargetRemoval &removal : told.removals) {
        names.insert(removal.name);
    }
    for (const TargetRecord &record : told.tombstones) {
        ended.insert(record.identity.key());
    }
    ListingChecksum digest;
    for (const auto &[key, target] : m_engine.targets().targets()) {
        const bool isCounted = target.presence == TargetPresence::Listed && target.record.revision <= revision
            && !names.contains(target.record.name) && !ended.contains(key);
        if (isCounted) {
            ++digest.count;
            digest.sum += hashText(target.record.name);
        }
    }
    return digest;
}

FetchResponse FleetControl::answerFetch(const FetchRequest &request, TimePoint now)
{
    const bool isEachRemovalNamed = request.after >= m_engine.targets().removalsKnownSince();
    const std::uint64_t after = isEachRemovalNamed || request.supportsListingChecksum ? request.after : 0;
    FetchResponse image;
    image.after = after;
    image.age = now - m_engine.currentAt();
    image.removalsKnownSince = m_engine.targets().removalsKnownSince();
    image.update.revision = m_revision;
    image.update.isComplete = after == 0;
    if (after == 0 || request.routesVersion < m_engine.routes().configuration().version) {
        image.update.routes = m_engine.routes().configuration();
    }
    image.update.removals = m_engine.targets().removalsAfter(after);
    for (const auto &[key, target] : m_engine.targets().targets()) {
        const bool isGone = target.presence == TargetPresence::Gone;
        const bool isWanted = target.record.revision > after || (isGone && !isEachRemovalNamed);
        if (!isWanted) {
            continue;
        }
        TargetRecord record = target.record;
        record.warmUpLeft = std::max<Duration>(target.warmAt - now, Duration::zero());
        (isGone ? image.update.tombstones : image.update.targets).push_back(std::move(record));
    }
    if (after > 0 && !isEachRemovalNamed) {
        image.listingChecksum = listedUpTo(after, image.update);
    }
    return image;
}

FleetActions FleetControl::onFetchResponse(const FetchResponse &image, TimePoint now)
{
    const TimePoint askedAt = std::exchange(m_fetchingSince, TimePoint{});
    const bool isUseful = image.update.revision >= m_revision && image.after <= m_revision
        && (image.update.routes || m_isLoaded);
    if (!isUseful) {
        return {};
    }
    FleetActions actions;
    if (image.listingChecksum && *image.listingChecksum != listedUpTo(image.after, image.update)) {
        m_mustFetchAll = true;
        fetchFrom(m_fetchedMember, actions, now);
        return actions;
    }
    const Progress before = progress();
    apply(image.update, now);
    m_needsAll = false;
    m_mustFetchAll = false;
    m_engine.targets().noteRemovalsUnknown(image.removalsKnownSince);
    // The answer may have waited here while the instance slept: its age counts from the question on.
    if (askedAt != TimePoint{}) {
        m_engine.noteCurrent(askedAt - image.age);
    }
    if (m_isFetchingElsewhere) {
        relay(before, actions, now);
    } else if (std::vector<Endpoint> below = children(); !below.empty()) {
        actions.messages.push_back({std::move(below), newsWith(ownEntry(), now)});
    }
    return actions;
}

void FleetControl::onFetchFailed(TimePoint now)
{
    m_fetchingSince = TimePoint{};
    m_fetchFailedAt = now;
}

} // namespace jasminequay
