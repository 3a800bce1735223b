#include "jasminequay/Fleet/fleetcontrol.h"

#include <algorithm>

namespace jasminequay
{

using std::chrono::milliseconds;

/// The interval of heartbeats.
constexpr Duration HeartbeatInterval = milliseconds(1000);

/// The interval of heartbeats of an instance that has no routes and targets yet.
constexpr Duration LoadingInterval = milliseconds(40);

/// An instance that knows nothing cannot serve, so it does not wait for the timeout of a read that began
/// while the store did not answer. Many times a usual answer, so that a store that answers is read once.
constexpr Duration FirstReadRepeatInterval = milliseconds(100);

/// The interval of heartbeats of an instance that started recently, and how long it applies: until all
/// members know each other.
constexpr Duration StartupInterval = milliseconds(250);
constexpr Duration StartupPeriod = std::chrono::seconds(4);

/// The shortest interval at which an instance relays, within its own data centre, that another data centre
/// has confirmed the directory to be current.
constexpr Duration RelayInterval = milliseconds(300);

/// A fetch that takes longer counts as failed, so that another peer can be asked. After a failure no fetch
/// starts for FetchPause.
constexpr Duration FetchTimeout = milliseconds(400);
constexpr Duration FetchPause = milliseconds(50);

/// How long an instance waits for its parent in the fetch tree: several times the duration of two fetches.
constexpr Duration ParentTimeout = milliseconds(200);

static MembershipTiming fleetTiming()
{
    MembershipTiming timing;
    timing.heartbeatInterval = HeartbeatInterval;
    timing.lease = 4 * HeartbeatInterval;
    timing.learnsMembers = true;
    return timing;
}

static DigestEntry selfEntry(const FleetSettings &settings)
{
    DigestEntry self;
    self.instance = format(settings.control);
    self.incarnation = settings.incarnation;
    self.control = settings.control;
    self.dataCentre = settings.dataCentre;
    return self;
}

static bool isSeed(const FleetSettings &settings)
{
    return settings.seeds.empty()
        || std::find(settings.seeds.begin(), settings.seeds.end(), settings.control) != settings.seeds.end();
}

FleetControl::FleetControl(const FleetSettings &settings, SteeringEngine &engine, TimePoint now)
    : m_settings(settings)
    , m_engine(engine)
    , m_name(format(settings.control))
    , m_members(selfEntry(settings), {}, settings.control, fleetTiming(), now, settings.randomSeed)
    , m_plan(readerTiming(settings.settingsBound), !settings.isFirstStart || isSeed(settings),
          settings.storeReadsPerSecond, now, settings.randomSeed)
    , m_startedAt(now)
{
    for (const Endpoint seed : settings.seeds) {
        m_members.addSeed(format(seed), {}, seed, now);
    }
}

StoreReadRequest FleetControl::nextRead(TimePoint now) const
{
    StoreReadRequest request;
    // Reading changes between these revisions again is harmless.
    request.after = std::min({m_revision, m_routesRevision, evacuationsRevision()});
    // Changes can be read only within an era.
    request.isComplete = m_needsCompleteRead || eraOf(request.after) < m_storeEra;
    request.mayBeStale = !m_isLoaded && !m_hasLostHistory;
    const bool isTooSoon = !request.isComplete && now - m_readAt < m_plan.timing().minimumInterval;
    request.isWanted = !isTooSoon && m_plan.wantsRead(readerView(), now);
    request.wait = m_plan.timing().wait;
    request.timeout = m_plan.timing().timeout;
    request.repeatAfter = request.mayBeStale ? FirstReadRepeatInterval : Duration::zero();
    return request;
}

DirectoryStatus FleetControl::directoryStatus(TimePoint now) const
{
    DirectoryStatus status;
    status.isLoaded = m_isLoaded;
    status.revision = m_revision;
    status.routesVersion = m_engine.routes().configuration().version;
    status.age = now - m_engine.currentAt();
    status.isReading = m_plan.isReading();
    status.routesEra = m_engine.routes().configuration().era;
    status.routesRevision = provedRoutesRevision();
    status.evacuationsRevision = evacuationsRevision();
    status.evacuations = m_engine.targets().evacuations().records();
    return status;
}

Digest FleetControl::ownDigest() const
{
    Digest digest;
    digest.peerControl = m_settings.control;
    digest.entries.push_back(m_members.self());
    return digest;
}

FleetMessage FleetControl::messageWith(Digest digest, TimePoint now) const
{
    FleetMessage message;
    message.sender = m_name;
    message.digest = std::move(digest);
    message.status = directoryStatus(now);
    return message;
}

FleetActions FleetControl::toActions(const std::vector<OutgoingDigest> &digests, TimePoint now) const
{
    FleetActions actions;
    for (const OutgoingDigest &outgoing : digests) {
        const auto member = m_members.members().find(outgoing.to);
        if (member != m_members.members().end()) {
            actions.messages.push_back({{member->second.peerControl}, messageWith(outgoing.digest, now)});
        }
    }
    return actions;
}

FleetActions FleetControl::tick(TimePoint now)
{
    const bool isStarting = now - m_startedAt < StartupPeriod;
    const Duration interval
        = !m_isLoaded ? LoadingInterval : (isStarting ? StartupInterval : HeartbeatInterval);
    if (m_fetchingSince != TimePoint{} && now - m_fetchingSince > FetchTimeout) {
        onFetchFailed(now);
    }
    FleetActions actions;
    applyHeldRoutes(actions, now);
    if (m_deferredFetch && now >= m_deferredFetch->until) {
        if (isBehind(m_deferredFetch->status)) {
            fetchFrom(m_deferredFetch->member, actions, now);
        }
        m_deferredFetch.reset();
    }
    if (m_heartbeatAt != TimePoint{} && now - m_heartbeatAt < interval) {
        return actions;
    }
    m_heartbeatAt = now;
    m_members.setPlatformFailing(m_plan.isFailing(now));
    FleetActions heartbeats = toActions(m_members.tick(now), now);
    std::move(heartbeats.messages.begin(), heartbeats.messages.end(), std::back_inserter(actions.messages));
    return actions;
}

FleetActions FleetControl::announceChanges(TimePoint now, bool withOtherDataCentres) const
{
    FleetMessage message = messageWith(ownDigest(), now);
    message.changes = m_history.all();
    FleetActions actions;
    actions.messages.push_back({receivers(withOtherDataCentres), std::move(message)});
    return actions;
}

/// Takes routes if they are newer than those known here. After that, none newer exist up to a store revision.
void FleetControl::applyRoutes(
    const std::optional<RouteConfiguration> &routes, std::uint64_t revision, TimePoint now)
{
    if (routes && isHeldBack(*routes, now)) {
        if (!m_heldRoutes || m_heldRoutes->order() < routes->order()) {
            m_heldRoutes = routes;
        }
    } else if (routes && m_engine.replaceRoutes(*routes, now)) {
        m_members.setSettingsVersion(routes->version);
    }
    if (m_heldRoutes && m_heldRoutes->order() <= m_engine.routes().configuration().order()) {
        m_heldRoutes.reset();
    }
    m_routesRevision = std::max(m_routesRevision, revision);
}

/// Applies the changes of targets. Routes are applied before, by applyRoutes().
void FleetControl::apply(const DirectoryUpdate &update, TimePoint now)
{
    if (m_isLoaded) {
        m_history.add(changesOf(update));
    }
    if (!m_isLoaded || update.isComplete) {
        m_engine.targets().markRemovalsUnknownUpTo(update.revision);
    }
    if (update.isComplete) {
        m_engine.targets().replaceAll(update.targets, update.revision, now);
    } else {
        for (const TargetRecord &record : update.targets) {
            m_engine.targets().put(record, now);
        }
    }
    for (const TargetRemoval &removal : update.removals) {
        m_engine.targets().remove(removal.name, removal.revision, now);
    }
    for (const TargetRecord &record : update.tombstones) {
        m_engine.targets().addTombstone(record, now);
    }
    if (update.revision > m_revision) {
        m_engine.targets().observe(now);
    }
    m_revision = std::max(m_revision, update.revision);
    if (!m_isLoaded && m_engine.routes().configuration().version > 0) {
        m_isLoaded = true;
        m_members.setPhase(MemberPhase::Ready);
    }
}

FleetActions FleetControl::onStoreAnswer(const StoreAnswer &answer, TimePoint startedAt, TimePoint now)
{
    switch (outcomeInEra(answer, now)) {
    case StoreOutcome::Answered: {
        const bool hasNoChanges = !answer.update.isComplete && !answer.update.routes
            && answer.update.targets.empty() && answer.update.removals.empty()
            && answer.update.evacuations.empty();
        m_needsCompleteRead = false;
        m_hasLostHistory = false;
        // After a stale read, the changes since are read at once.
        m_readAt = answer.isStale ? TimePoint{} : now;
        applyRoutes(answer.update.routes, answer.update.revision, now);
        apply(answer.update, now);
        applyEvacuations(answer, now);
        m_plan.noteSuccess(now);
        m_members.setPlatformFailing(false);
        if (answer.isStale) {
            return {};
        }
        // A read that waited and returned no changes was answered at the end of its wait.
        const TimePoint waited = startedAt + m_plan.timing().wait;
        const TimePoint currentAt = hasNoChanges && waited <= now ? waited : startedAt;
        m_engine.markCurrentAt(currentAt);
        markEvacuationsCurrentAt(currentAt);
        return announceChanges(now, true);
    }
    case StoreOutcome::TooLarge:
        // A page of a complete read is too large: nothing smaller can be asked for.
        if (answer.update.isComplete) {
            break;
        }
        // The changes only become more: everything is read instead, in pages.
        [[fallthrough]];
    case StoreOutcome::HistoryLost:
        m_needsCompleteRead = true;
        m_hasLostHistory = true;
        return {};
    case StoreOutcome::Refused:
    case StoreOutcome::Failed:
        break;
    }
    const bool wasReading = m_plan.isReading();
    m_plan.noteFailure(readerView(), now);
    m_members.setPlatformFailing(true);
    return wasReading ? announceChanges(now, false) : FleetActions{};
}

void FleetControl::fetchFrom(const std::string &member, FleetActions &actions, TimePoint now)
{
    const bool isPaused = m_fetchFailedAt != TimePoint{} && now - m_fetchFailedAt < FetchPause;
    const auto found = m_members.members().find(member);
    if (m_fetchingSince != TimePoint{} || isPaused || found == m_members.members().end()) {
        return;
    }
    m_fetchingSince = now;
    m_fetchedMember = member;
    m_isFetchingRemotely = !isLocalDataCentre(found->second.known.dataCentre);
    actions.fetch
        = FetchRequest{found->second.peerControl, m_isLoaded && !m_needsCompleteFetch ? m_revision : 0,
            knownRoutesOrder().first < m_storeEra ? 0 : knownRoutesOrder().second};
}

bool FleetControl::isBehind(const DirectoryStatus &status) const
{
    return status.revision > m_revision || status.routesOrder() > knownRoutesOrder() || !m_isLoaded;
}

/// Fetches at once, or defers the fetch to give the parent in the fetch tree time to deliver the changes.
void FleetControl::scheduleFetch(const FleetMessage &message, FleetActions &actions, TimePoint now)
{
    const std::string parentName
        = m_isLoaded && isLocalDataCentre(message.digest.entries.front().dataCentre) ? parent() : "";
    if (parentName.empty() || parentName == message.sender) {
        fetchFrom(message.sender, actions, now);
    } else if (!m_deferredFetch) {
        m_deferredFetch = DeferredFetch{message.sender, message.status, now + ParentTimeout};
    }
}

void FleetControl::onStatus(const FleetMessage &message, FleetActions &actions, TimePoint now)
{
    const DirectoryStatus &status = message.status;
    const DirectoryChanges &changes = message.changes;
    raiseStoreEra(eraOf(status.revision), now);
    mergeEvacuations(status, now);
    const bool isInGap = m_revision > changes.after && m_revision < changes.completeReadRevision;
    const bool isApplicable = m_isLoaded && changes.revision == status.revision && changes.after <= m_revision
        && status.revision > m_revision && !isInGap;
    if (isApplicable) {
        apply({status.revision, false, std::nullopt, changes.targets, changes.removals, {}, {}}, now);
    }
    if (m_isLoaded && status.routesOrder() <= knownRoutesOrder()) {
        applyRoutes(std::nullopt, status.routesRevision, now);
    }
    if (isBehind(status)) {
        scheduleFetch(message, actions, now);
    } else if (status.revision == m_revision) {
        m_engine.markCurrentAt(now - status.age);
    }
}

/// Stops reading if another instance that reads for the data centre is preferred. One that is not preferred
/// stops as soon as it hears of this one: if each counted on the other, nobody would read.
void FleetControl::yieldTo(const std::string &reader, TimePoint now)
{
    const std::vector<std::string> &order = readerOrder(m_settings.dataCentre);
    const bool isPreferred
        = std::find(order.begin(), order.end(), reader) < std::find(order.begin(), order.end(), m_name);
    if (isPreferred) {
        m_otherReaderAt = now;
        m_plan.stopReading();
    }
}

FleetActions FleetControl::onMessage(const FleetMessage &message, TimePoint now)
{
    if (message.sender == m_name || message.digest.entries.empty()
        || message.digest.entries.front().instance != message.sender) {
        return {};
    }
    FleetActions actions = toActions(m_members.onDigest(message.sender, message.digest, now), now);
    const DigestEntry &sender = message.digest.entries.front();
    if (message.status.isReading && isLocalDataCentre(sender.dataCentre)) {
        yieldTo(message.sender, now);
    }
    for (const TargetLossReport &loss : message.targetLosses) {
        KnownTarget *const target = m_engine.targets().find(loss.targetKey);
        // A target that another data centre cannot reach may be reachable from this one.
        if (target != nullptr && isLocalDataCentre(sender.dataCentre)) {
            target->evidence.recordPeerReport(now);
            m_engine.targets().watch(*target);
        }
    }
    // Other data centres see a target through other links and other callers.
    if (isLocalDataCentre(sender.dataCentre)) {
        m_engine.recordPeerFailures(message.sender, message.targetFailures, now);
    }
    if (!message.status.isLoaded) {
        return actions;
    }
    const Progress before = progress();
    onStatus(message, actions, now);
    if (!isLocalDataCentre(sender.dataCentre)) {
        relay(before, actions, now);
    }
    return actions;
}

FleetControl::Progress FleetControl::progress() const
{
    return {
        m_revision, knownRoutesOrder(), m_engine.currentAt(), m_engine.targets().evacuations().changeCount()};
}

/// Relays within the own data centre what came from another one: after that, the own reader may have no
/// changes left to read, and the store may be unavailable to the whole data centre.
void FleetControl::relay(const Progress &before, FleetActions &actions, TimePoint now)
{
    const Progress after = progress();
    const bool isChanged = after.revision > before.revision || after.routesOrder > before.routesOrder
        || after.evacuationChanges > before.evacuationChanges;
    const bool isFresher = !m_plan.isReading() && after.currentAt - before.currentAt > RelayInterval
        && now - m_relayedAt >= RelayInterval;
    const bool mayRelay = m_plan.isReading() || readerView().rank < NotifiedReaders;
    if (!mayRelay || (!isChanged && !isFresher)) {
        return;
    }
    m_relayedAt = now;
    FleetActions relayed = announceChanges(now, false);
    std::move(relayed.messages.begin(), relayed.messages.end(), std::back_inserter(actions.messages));
}

FleetActions FleetControl::reportTargetLosses(const std::vector<TargetLossReport> &losses, TimePoint now)
{
    FleetMessage message = messageWith(ownDigest(), now);
    message.targetLosses = losses;
    FleetActions actions;
    actions.messages.push_back({receivers(false), std::move(message)});
    return actions;
}

FleetActions FleetControl::reportTargetFailures(const std::vector<TargetFailures> &failures, TimePoint now)
{
    FleetMessage message = messageWith(ownDigest(), now);
    message.targetFailures = failures;
    FleetActions actions;
    actions.messages.push_back({receivers(false), std::move(message)});
    return actions;
}

void FleetControl::reconfigure(const std::vector<Endpoint> &seeds, Duration settingsBound, TimePoint now)
{
    m_settings.seeds = seeds;
    m_settings.settingsBound = settingsBound;
    m_plan.setTiming(readerTiming(settingsBound));
    for (const Endpoint seed : seeds) {
        m_members.addSeed(format(seed), {}, seed, now);
    }
}

FleetActions FleetControl::beginLeave(TimePoint now)
{
    m_members.setPhase(MemberPhase::Leaving);
    m_plan.stopReading();
    FleetActions actions;
    actions.messages.push_back({receivers(false), messageWith(ownDigest(), now)});
    return actions;
}

} // namespace jasminequay
