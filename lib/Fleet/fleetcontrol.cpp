#include "jasminequay/Fleet/fleetcontrol.h"

#include <algorithm>

namespace jasminequay
{

using std::chrono::milliseconds;

/// The beat of the members' gossip.
constexpr Duration BeatInterval = milliseconds(1000);

/// The beat of an instance that knows nothing yet.
constexpr Duration JoinInterval = milliseconds(40);

/// The beat of an instance that started lately, and for how long: until all members know each other.
constexpr Duration NewcomerInterval = milliseconds(250);
constexpr Duration NewcomerTime = std::chrono::seconds(4);

/// How often an instance that hears of another data centre's reads hands them on in its own.
constexpr Duration RelayInterval = milliseconds(300);

/// A fetch that takes longer is tried at another peer.
constexpr Duration FetchTimeout = milliseconds(400);
constexpr Duration FetchPause = milliseconds(50);

/// How long an instance waits for the one above it in the tree: some times what two fetches take.
constexpr Duration TreePatience = milliseconds(200);

static MembershipTiming fleetTiming()
{
    MembershipTiming timing;
    timing.heartbeatInterval = BeatInterval;
    timing.lease = 4 * BeatInterval;
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
    const bool isPaced = !m_needsAll && now - m_readAt < m_plan.timing().pace;
    request.isWanted = !isPaced && m_plan.wantsRead(readerView(), now);
    request.isComplete = m_needsAll;
    request.mayBeStale = !m_isLoaded && !m_hasLostHistory;
    request.after = m_revision;
    request.wait = m_plan.timing().wait;
    request.timeout = m_plan.timing().timeout;
    return request;
}

DirectoryStatus FleetControl::standing(TimePoint now) const
{
    DirectoryStatus standing;
    standing.isLoaded = m_isLoaded;
    standing.revision = m_revision;
    standing.routesVersion = m_engine.routes().configuration().version;
    standing.age = now - m_engine.currentAt();
    standing.isReading = m_plan.isReading();
    return standing;
}

Digest FleetControl::ownEntry() const
{
    Digest digest;
    digest.peerControl = m_settings.control;
    digest.entries.push_back(m_members.self());
    return digest;
}

FleetMessage FleetControl::newsWith(Digest digest, TimePoint now) const
{
    FleetMessage news;
    news.sender = m_name;
    news.digest = std::move(digest);
    news.status = standing(now);
    return news;
}

FleetActions FleetControl::wrap(const std::vector<OutgoingDigest> &digests, TimePoint now) const
{
    FleetActions actions;
    for (const OutgoingDigest &outgoing : digests) {
        const auto member = m_members.members().find(outgoing.to);
        if (member != m_members.members().end()) {
            actions.messages.push_back({{member->second.peerControl}, newsWith(outgoing.digest, now)});
        }
    }
    return actions;
}

FleetActions FleetControl::tick(TimePoint now)
{
    const bool isNewcomer = now - m_startedAt < NewcomerTime;
    const Duration interval = !m_isLoaded ? JoinInterval : (isNewcomer ? NewcomerInterval : BeatInterval);
    if (m_fetchingSince != TimePoint{} && now - m_fetchingSince > FetchTimeout) {
        onFetchFailed(now);
    }
    FleetActions actions;
    if (m_awaited && now >= m_awaited->until) {
        if (isBehind(m_awaited->standing)) {
            fetchFrom(m_awaited->member, actions, now);
        }
        m_awaited.reset();
    }
    if (m_beatAt != TimePoint{} && now - m_beatAt < interval) {
        return actions;
    }
    m_beatAt = now;
    m_members.setPlatformFailing(m_plan.isFailing(now));
    FleetActions beat = wrap(m_members.tick(now), now);
    std::move(beat.messages.begin(), beat.messages.end(), std::back_inserter(actions.messages));
    return actions;
}

FleetActions FleetControl::tellReaders(TimePoint now, bool withOtherDataCentres) const
{
    FleetMessage news = newsWith(ownEntry(), now);
    news.changes = m_history.all();
    FleetActions actions;
    actions.messages.push_back({receivers(withOtherDataCentres), std::move(news)});
    return actions;
}

void FleetControl::apply(const DirectoryUpdate &update, TimePoint now)
{
    if (m_isLoaded) {
        m_history.add(changesOf(update));
    }
    if (!m_isLoaded || update.isComplete) {
        m_engine.targets().noteRemovalsUnknown(update.revision);
    }
    if (update.routes) {
        m_engine.routes().adopt(*update.routes);
        m_members.setSettingsVersion(m_engine.routes().configuration().version);
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
    m_revision = std::max(m_revision, update.revision);
    if (!m_isLoaded && m_engine.routes().configuration().version > 0) {
        m_isLoaded = true;
        m_members.setPhase(MemberPhase::Ready);
    }
}

FleetActions FleetControl::onStoreAnswer(const StoreAnswer &answer, TimePoint startedAt, TimePoint now)
{
    switch (answer.outcome) {
    case StoreOutcome::Answered: {
        const bool isQuiet
            = !answer.update.isComplete && answer.update.targets.empty() && answer.update.removals.empty();
        m_needsAll = false;
        m_hasLostHistory = false;
        // A stale read is followed at once by what changed since.
        m_readAt = answer.isStale ? TimePoint{} : now;
        apply(answer.update, now);
        m_plan.noteSuccess(now);
        m_members.setPlatformFailing(false);
        if (answer.isStale) {
            return {};
        }
        // A waiting read that brings nothing was answered at the end of its wait.
        const TimePoint waited = startedAt + m_plan.timing().wait;
        m_engine.noteCurrent(isQuiet && waited <= now ? waited : startedAt);
        return tellReaders(now, true);
    }
    case StoreOutcome::HistoryLost:
        m_needsAll = true;
        m_hasLostHistory = true;
        return {};
    case StoreOutcome::Refused:
    case StoreOutcome::Failed:
        break;
    }
    const bool wasReading = m_plan.isReading();
    m_plan.noteFailure(readerView(), now);
    m_members.setPlatformFailing(true);
    return wasReading ? tellReaders(now, false) : FleetActions{};
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
    m_isFetchingElsewhere = !isMine(found->second.known.dataCentre);
    actions.fetch = FetchRequest{found->second.peerControl, m_isLoaded && !m_mustFetchAll ? m_revision : 0,
        m_engine.routes().configuration().version};
}

bool FleetControl::isBehind(const DirectoryStatus &standing) const
{
    return standing.revision > m_revision
        || standing.routesVersion > m_engine.routes().configuration().version || !m_isLoaded;
}

/// Fetches at once, or gives the instance above in the tree time to hand on.
void FleetControl::fetchLater(const FleetMessage &news, FleetActions &actions, TimePoint now)
{
    const std::string above = m_isLoaded && isMine(news.digest.entries.front().dataCentre) ? parent() : "";
    if (above.empty() || above == news.sender) {
        fetchFrom(news.sender, actions, now);
    } else if (!m_awaited) {
        m_awaited = Awaited{news.sender, news.status, now + TreePatience};
    }
}

void FleetControl::takeStanding(const FleetMessage &news, FleetActions &actions, TimePoint now)
{
    const DirectoryStatus &standing = news.status;
    const DirectoryChanges &changes = news.changes;
    const bool isInGap = m_revision > changes.after && m_revision < changes.completeReadRevision;
    const bool isApplicable = m_isLoaded && changes.revision == standing.revision
        && changes.after <= m_revision && standing.revision > m_revision && !isInGap;
    if (isApplicable) {
        apply({standing.revision, false, std::nullopt, changes.targets, changes.removals, {}}, now);
    }
    if (isBehind(standing)) {
        fetchLater(news, actions, now);
    } else if (standing.revision == m_revision) {
        m_engine.noteCurrent(now - standing.age);
    }
}

FleetActions FleetControl::onMessage(const FleetMessage &news, TimePoint now)
{
    if (news.sender == m_name || news.digest.entries.empty()
        || news.digest.entries.front().instance != news.sender) {
        return {};
    }
    FleetActions actions = wrap(m_members.onDigest(news.sender, news.digest, now), now);
    const DigestEntry &sender = news.digest.entries.front();
    const bool isReaderHere = news.status.isReading && isMine(sender.dataCentre);
    if (isReaderHere) {
        m_otherReaderAt = now;
        const std::vector<std::string> &order = readerOrder(m_settings.dataCentre);
        const bool isBetter = std::find(order.begin(), order.end(), news.sender)
            < std::find(order.begin(), order.end(), m_name);
        if (isBetter) {
            m_plan.yield();
        }
    }
    for (const TargetLossReport &loss : news.targetLosses) {
        KnownTarget *const target = m_engine.targets().find(loss.targetKey);
        // What another data centre cannot reach may be well here.
        if (target != nullptr && isMine(sender.dataCentre)) {
            target->evidence.notePeerReport(now);
            m_engine.targets().watch(*target);
        }
    }
    if (!news.status.isLoaded) {
        return actions;
    }
    const Progress before = progress();
    takeStanding(news, actions, now);
    if (!isMine(sender.dataCentre)) {
        relay(before, actions, now);
    }
    return actions;
}

FleetControl::Progress FleetControl::progress() const
{
    return {m_revision, m_engine.routes().configuration().version, m_engine.currentAt()};
}

/// Hands on in the own data centre what came from another one: its reader may have nothing to read any more,
/// or nobody there may be served by the store.
void FleetControl::relay(const Progress &before, FleetActions &actions, TimePoint now)
{
    const Progress after = progress();
    const bool isChanged = after.revision > before.revision || after.routesVersion > before.routesVersion;
    const bool isFresher = !m_plan.isReading() && after.currentAt - before.currentAt > RelayInterval
        && now - m_relayedAt >= RelayInterval;
    const bool isTeller = m_plan.isReading() || readerView().rank < ReadersTold;
    if (!isTeller || (!isChanged && !isFresher)) {
        return;
    }
    m_relayedAt = now;
    FleetActions relayed = tellReaders(now, false);
    std::move(relayed.messages.begin(), relayed.messages.end(), std::back_inserter(actions.messages));
}

FleetActions FleetControl::reportTargetLosses(const std::vector<TargetLossReport> &losses, TimePoint now)
{
    FleetMessage news = newsWith(ownEntry(), now);
    news.targetLosses = losses;
    FleetActions actions;
    actions.messages.push_back({receivers(false), std::move(news)});
    return actions;
}

void FleetControl::reconfigure(const std::vector<Endpoint> &seeds, Duration settingsBound, TimePoint now)
{
    m_settings.seeds = seeds;
    m_settings.settingsBound = settingsBound;
    m_plan.adopt(readerTiming(settingsBound));
    for (const Endpoint seed : seeds) {
        m_members.addSeed(format(seed), {}, seed, now);
    }
}

FleetActions FleetControl::beginLeave(TimePoint now)
{
    m_members.setPhase(MemberPhase::Leaving);
    m_plan.yield();
    FleetActions actions;
    actions.messages.push_back({receivers(false), newsWith(ownEntry(), now)});
    return actions;
}

} // namespace jasminequay
