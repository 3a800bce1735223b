#include "jasminequay/Fleet/fleetcontrol.h"

#include <map>
#include <set>
#include <utility>

namespace jasminequay
{

/// Returns what an update changes in the local directory, so that peers need not fetch everything after a
/// complete read.
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
    for (const TargetRecord &record : m_engine.targets().heldRecordsAfter(0)) {
        if (!known.contains(record.name) && !listed.contains(record.name)) {
            changes.removals.push_back({record.name, update.revision});
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

ListingChecksum FleetControl::checksumListing(std::uint64_t revision, const DirectoryUpdate &update) const
{
    std::set<std::string> names;
    std::set<std::uint64_t> tombstoneKeys;
    for (const TargetRecord &record : update.targets) {
        names.insert(record.name);
    }
    for (const TargetRemoval &removal : update.removals) {
        names.insert(removal.name);
    }
    for (const TargetRecord &record : update.tombstones) {
        tombstoneKeys.insert(record.identity.key());
    }
    ListingChecksum digest;
    for (const auto &[key, target] : m_engine.targets().targets()) {
        const bool isCounted = target.presence == TargetPresence::Listed && target.record.revision <= revision
            && !names.contains(target.record.name) && !tombstoneKeys.contains(key);
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
    FetchResponse response;
    response.after = after;
    response.age = now - m_engine.currentAt();
    response.removalsKnownSince = m_engine.targets().removalsKnownSince();
    response.routesRevision = provedRoutesRevision();
    response.evacuationsRevision = evacuationsRevision();
    response.update.evacuations = m_engine.targets().evacuations().records();
    response.update.revision = m_revision;
    response.update.isComplete = after == 0;
    if (after == 0 || request.routesVersion < m_engine.routes().configuration().version) {
        response.update.routes = m_engine.routes().configuration();
    }
    response.update.removals = m_engine.targets().removalsAfter(after);
    for (const auto &[key, target] : m_engine.targets().targets()) {
        const bool isGone = target.presence == TargetPresence::Gone;
        const bool isWanted = target.record.revision > after || (isGone && !isEachRemovalNamed);
        if (!isWanted) {
            continue;
        }
        TargetRecord record = target.record;
        const TimePoint coldUntil = std::max(target.warmUpEndsAt, target.coldUntil);
        record.warmUpLeft = std::max<Duration>(coldUntil - now, Duration::zero());
        (isGone ? response.update.tombstones : response.update.targets).push_back(std::move(record));
    }
    for (TargetRecord &record : m_engine.targets().heldRecordsAfter(after)) {
        response.update.targets.push_back(std::move(record));
    }
    if (after > 0 && !isEachRemovalNamed) {
        response.listingChecksum = checksumListing(after, response.update);
    }
    return response;
}

bool FleetControl::areTargetsUsable(const FetchResponse &response) const
{
    return response.update.revision >= m_revision && response.after <= m_revision
        && (response.update.routes || m_isLoaded);
}

FleetActions FleetControl::onFetchResponse(const FetchResponse &response, TimePoint now)
{
    const TimePoint requestedAt = std::exchange(m_fetchingSince, TimePoint{});
    raiseStoreEra(eraOf(response.update.revision), now);
    FleetActions actions;
    if (areTargetsUsable(response) && response.listingChecksum
        && *response.listingChecksum != checksumListing(response.after, response.update)) {
        m_needsCompleteFetch = true;
        fetchFrom(m_fetchedMember, actions, now);
        return actions;
    }
    const Progress before = progress();
    // Routes have versions of their own, so they are used even if the targets here have become newer.
    applyRoutes(response.update.routes, response.routesRevision, now);
    m_engine.targets().evacuations().mergeAll(response.update.evacuations, response.evacuationsRevision, now);
    if (areTargetsUsable(response)) {
        apply(response.update, now);
        // A peer of an older version does not state up to which revision it knows routes and evacuations.
        m_needsCompleteRead = m_routesRevision == 0 || evacuationsRevision() == 0;
        m_needsCompleteFetch = false;
        m_engine.targets().markRemovalsUnknownUpTo(response.removalsKnownSince);
    } else if (progress().routesOrder == before.routesOrder
        && progress().evacuationChanges == before.evacuationChanges) {
        return {};
    }
    // The response may have waited in the socket while the instance was paused: its age counts from the
    // request on.
    if (requestedAt != TimePoint{}) {
        m_engine.markCurrentAt(requestedAt - response.age);
        if (response.evacuationsRevision >= response.update.revision) {
            markEvacuationsCurrentAt(requestedAt - response.age);
        }
    }
    if (m_isFetchingRemotely) {
        relay(before, actions, now);
    } else if (std::vector<Endpoint> childAddresses = children(); !childAddresses.empty()) {
        actions.messages.push_back({std::move(childAddresses), messageWith(ownDigest(), now)});
    }
    return actions;
}

void FleetControl::onFetchFailed(TimePoint now)
{
    m_fetchingSince = TimePoint{};
    m_fetchFailedAt = now;
}

} // namespace jasminequay
