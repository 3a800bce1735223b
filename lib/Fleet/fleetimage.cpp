#include "jasminequay/Fleet/fleetcontrol.h"

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
    const EntryTable &entries = m_engine.targets().entries();
    std::set<std::string> listed;
    for (const TargetRecord &record : update.targets) {
        listed.insert(record.name);
        const TargetRecord *const known = entries.find(record.name);
        if (known == nullptr || known->revision < record.revision) {
            changes.targets.push_back(record);
        }
    }
    for (std::string &name : entries.missingFrom(listed, update.revision)) {
        changes.removals.push_back({std::move(name), update.revision});
    }
    return changes;
}

ListingChecksum FleetControl::checksumListing(std::uint64_t revision, const DirectoryUpdate &update) const
{
    std::set<std::string> names;
    for (const TargetRecord &record : update.targets) {
        names.insert(record.name);
    }
    for (const TargetRemoval &removal : update.removals) {
        names.insert(removal.name);
    }
    ListingChecksum digest;
    for (const std::string &name : m_engine.targets().entries().missingFrom(names, revision)) {
        ++digest.count;
        digest.sum += hashText(name);
    }
    return digest;
}

FetchResponse FleetControl::answerFetch(const FetchRequest &request, TimePoint now)
{
    const bool isEachRemovalNamed = request.after >= m_engine.targets().entries().removalsKnownSince();
    const std::uint64_t after = isEachRemovalNamed || request.supportsListingChecksum ? request.after : 0;
    FetchResponse response;
    response.after = after;
    response.age = now - m_engine.currentAt();
    response.removalsKnownSince = m_engine.targets().entries().removalsKnownSince();
    response.routesRevision = provedRoutesRevision();
    response.evacuationsRevision = evacuationsRevision();
    response.update.evacuations = m_engine.targets().evacuations().records();
    response.update.revision = m_revision;
    response.update.isComplete = after == 0;
    if (after == 0 || request.routesVersion < m_engine.routes().configuration().version) {
        response.update.routes = m_engine.routes().configuration();
    }
    response.update.removals = m_engine.targets().entries().removalsAfter(after);
    response.update.targets = m_engine.targets().recordsAfter(after, now);
    for (const auto &[key, target] : m_engine.targets().targets()) {
        const bool isWanted = target.record.revision > after || !isEachRemovalNamed;
        if (target.presence == TargetPresence::Gone && isWanted) {
            response.update.tombstones.push_back(target.record);
        }
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
