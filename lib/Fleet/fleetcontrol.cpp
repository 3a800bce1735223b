#include "jasminequay/Fleet/fleetcontrol.h"

#include "jasminequay/Placement/instanceorder.h"

#include <algorithm>
#include <set>

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

/// The readers of each other data centre that hear of changes, so that it goes on when its own reads fail.
constexpr std::size_t ReadersTold = 2;

/// How often an instance that hears of another data centre's reads hands them on in its own.
constexpr Duration RelayInterval = milliseconds(300);

/// A fetch that takes longer is tried at another peer.
constexpr Duration FetchTimeout = milliseconds(400);
constexpr Duration FetchPause = milliseconds(50);

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

/// Returns the instances of a data centre in the order in which they should read the store. Those that the
/// store failed come last.
std::vector<std::string> FleetControl::computeReaderOrder(const std::string &dataCentre) const
{
    struct Candidate {
        bool isFailing;
        std::uint64_t hash;
        std::string name;
    };
    std::vector<Candidate> candidates;
    const auto add = [&](const DigestEntry &entry) {
        const std::uint64_t hash = hashWords(hashText("store-reader"), hashText(entry.instance));
        candidates.push_back({entry.isPlatformFailing, hash, entry.instance});
    };
    if (isMine(dataCentre)) {
        add(m_members.self());
    }
    for (const auto &[name, member] : m_members.members()) {
        const bool isCandidate = member.hasBeenHeard && member.health != MemberHealth::Dead
            && member.known.phase != MemberPhase::Leaving && member.known.dataCentre == dataCentre;
        if (isCandidate) {
            add(member.known);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return std::tie(left.isFailing, left.hash) < std::tie(right.isFailing, right.hash);
    });
    std::vector<std::string> order;
    order.reserve(candidates.size());
    for (const Candidate &candidate : candidates) {
        order.push_back(candidate.name);
    }
    return order;
}

const std::vector<std::string> &FleetControl::readerOrder(const std::string &dataCentre) const
{
    const auto [position, isNew] = m_readerOrders.try_emplace(dataCentre);
    if (isNew) {
        position->second = computeReaderOrder(dataCentre);
    }
    return position->second;
}

ReaderView FleetControl::readerView() const
{
    const std::vector<std::string> &order = readerOrder(m_settings.dataCentre);
    ReaderView view;
    view.rank = static_cast<std::size_t>(std::find(order.begin(), order.end(), m_name) - order.begin());
    view.members = order.size();
    view.fleet = m_members.members().size() + 1;
    view.isLoaded = m_isLoaded;
    view.currentAt = m_engine.currentAt();
    view.otherReaderAt = m_otherReaderAt;
    return view;
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

KnowledgeStanding FleetControl::standing(TimePoint now) const
{
    KnowledgeStanding standing;
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

FleetNews FleetControl::newsWith(Digest digest, TimePoint now) const
{
    FleetNews news;
    news.sender = m_name;
    news.digest = std::move(digest);
    news.standing = standing(now);
    return news;
}

FleetActions FleetControl::wrap(const std::vector<OutgoingDigest> &digests, TimePoint now) const
{
    FleetActions actions;
    for (const OutgoingDigest &outgoing : digests) {
        const auto member = m_members.members().find(outgoing.to);
        if (member != m_members.members().end()) {
            actions.news.push_back({{member->second.peerControl}, newsWith(outgoing.digest, now)});
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
    if (m_beatAt != TimePoint{} && now - m_beatAt < interval) {
        return {};
    }
    m_beatAt = now;
    m_members.setPlatformFailing(m_plan.isFailing(now));
    m_readerOrders.clear();
    return wrap(m_members.tick(now), now);
}

/// Returns all members of the own data centre and, where wanted, the first readers of the others.
std::vector<Endpoint> FleetControl::receivers(bool withOtherDataCentres) const
{
    std::vector<Endpoint> found;
    std::set<std::string> otherDataCentres;
    for (const auto &[name, member] : m_members.members()) {
        if (!member.hasBeenHeard || member.health == MemberHealth::Dead) {
            continue;
        }
        if (isMine(member.known.dataCentre)) {
            found.push_back(member.peerControl);
        } else {
            otherDataCentres.insert(member.known.dataCentre);
        }
    }
    if (!withOtherDataCentres) {
        return found;
    }
    for (const std::string &dataCentre : otherDataCentres) {
        const std::vector<std::string> &readers = readerOrder(dataCentre);
        for (std::size_t rank = 0; rank < std::min(readers.size(), ReadersTold); ++rank) {
            found.push_back(m_members.members().at(readers[rank]).peerControl);
        }
    }
    return found;
}

FleetActions FleetControl::tellReaders(TimePoint now, bool withOtherDataCentres) const
{
    FleetNews news = newsWith(ownEntry(), now);
    news.changes = m_history.all();
    FleetActions actions;
    actions.news.push_back({receivers(withOtherDataCentres), std::move(news)});
    return actions;
}

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

void FleetControl::apply(const DirectoryUpdate &update, TimePoint now)
{
    m_history.add(changesOf(update));
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
        m_readerOrders.clear();
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
    m_readerOrders.clear();
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
    m_isFetchingElsewhere = !isMine(found->second.known.dataCentre);
    actions.fetch = FetchRequest{
        found->second.peerControl, m_isLoaded ? m_revision : 0, m_engine.routes().configuration().version};
}

void FleetControl::takeStanding(const FleetNews &news, FleetActions &actions, TimePoint now)
{
    const KnowledgeStanding &standing = news.standing;
    const DirectoryChanges &changes = news.changes;
    const bool isApplicable = m_isLoaded && changes.revision == standing.revision
        && changes.after <= m_revision && standing.revision > m_revision;
    if (isApplicable) {
        apply({standing.revision, false, std::nullopt, changes.targets, changes.removals, {}}, now);
    }
    const bool isBehind = standing.revision > m_revision
        || standing.routesVersion > m_engine.routes().configuration().version || !m_isLoaded;
    if (isBehind) {
        fetchFrom(news.sender, actions, now);
    } else if (standing.revision == m_revision) {
        m_engine.noteCurrent(now - standing.age);
    }
}

FleetActions FleetControl::onNews(const FleetNews &news, TimePoint now)
{
    if (news.sender == m_name || news.digest.entries.empty()
        || news.digest.entries.front().instance != news.sender) {
        return {};
    }
    FleetActions actions = wrap(m_members.onDigest(news.sender, news.digest, now), now);
    m_readerOrders.clear();
    const DigestEntry &sender = news.digest.entries.front();
    const bool isReaderHere = news.standing.isReading && isMine(sender.dataCentre);
    if (isReaderHere) {
        m_otherReaderAt = now;
        const std::vector<std::string> &order = readerOrder(m_settings.dataCentre);
        const bool isBetter = std::find(order.begin(), order.end(), news.sender)
            < std::find(order.begin(), order.end(), m_name);
        if (isBetter) {
            m_plan.yield();
        }
    }
    for (const LossReport &loss : news.losses) {
        KnownTarget *const target = m_engine.targets().find(loss.targetKey);
        // What another data centre cannot reach may be well here.
        if (target != nullptr && isMine(sender.dataCentre)) {
            target->evidence.notePeerReport(now);
        }
    }
    if (!news.standing.isLoaded) {
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
    std::move(relayed.news.begin(), relayed.news.end(), std::back_inserter(actions.news));
}

DirectoryImage FleetControl::image(std::uint64_t after, std::uint64_t routesVersion, TimePoint now)
{
    DirectoryImage image;
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
    m_fetchingSince = TimePoint{};
    const bool isUseful = image.update.revision >= m_revision && image.after <= m_revision
        && (image.update.routes || m_isLoaded);
    if (!isUseful) {
        return {};
    }
    const Progress before = progress();
    apply(image.update, now);
    m_needsAll = false;
    m_engine.noteCurrent(now - image.age);
    FleetActions actions;
    if (m_isFetchingElsewhere) {
        relay(before, actions, now);
    }
    return actions;
}

void FleetControl::onFetchFailed(TimePoint now)
{
    m_fetchingSince = TimePoint{};
    m_fetchFailedAt = now;
}

FleetActions FleetControl::reportLosses(const std::vector<LossReport> &losses, TimePoint now)
{
    FleetNews news = newsWith(ownEntry(), now);
    news.losses = losses;
    FleetActions actions;
    actions.news.push_back({receivers(false), std::move(news)});
    return actions;
}

void FleetControl::adopt(const std::vector<Endpoint> &seeds, Duration settingsBound, TimePoint now)
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
    actions.news.push_back({receivers(false), newsWith(ownEntry(), now)});
    return actions;
}

} // namespace jasminequay
