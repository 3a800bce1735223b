#include "jasminequay/Steering/targetdirectory.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace jasminequay
{

/// Removals of entries of unknown targets are recorded only while fewer removals than this are stored.
constexpr std::size_t MaximumRemovals = 10000;

/// A target is cold for this long at most, whatever its entry says: one wrong entry must not limit it for
/// good.
constexpr Duration LongestColdTime = std::chrono::minutes(10);

TargetDirectory::TargetDirectory(DirectoryTiming timing)
    : m_timing(timing)
{
}

KnownTarget *TargetDirectory::find(std::uint64_t key)
{
    const auto found = m_targets.find(key);
    return found == m_targets.end() ? nullptr : &found->second;
}

void TargetDirectory::setServices(std::set<std::string, std::less<>> services, TimePoint /*now*/)
{
    m_services = std::move(services);
    for (auto &[key, target] : m_targets) {
        if (target.isAssigned || !m_services.contains(target.record.service)) {
            continue;
        }
        target.isAssigned = true;
    }
    for (const auto &[key, target] : m_targets) {
        assignAddress(target.record.address);
    }
    m_areIndexesStale = true;
}

/// Returns the target that an entry of this name belongs to: the start that is believed.
KnownTarget *TargetDirectory::targetNamed(const std::string &name)
{
    const auto named = m_byName.find(name);
    return named == m_byName.end() ? nullptr : find(named->second);
}

/// Returns whether a newer entry, or the removal of this one, is already known. An entry of a later start
/// than the one that is believed is news even if the store has put a late write of an earlier one in its
/// place.
bool TargetDirectory::isOutdated(const TargetRecord &record)
{
    if (const auto removal = m_removals.find(record.name);
        removal != m_removals.end() && removal->second >= record.revision) {
        return true;
    }
    const KnownTarget *const known = targetNamed(record.name);
    if (known != nullptr && startsLater(record, *known)) {
        return false;
    }
    const auto held = m_held.find(record.name);
    const bool isReplaced = held != m_held.end() && held->second.record.revision >= record.revision;
    const KnownTarget *const start = find(record.identity.key());
    if (start != nullptr && start->end == TargetEnd::AnsweredByOther
        && start->record.revision >= record.revision) {
        // The end of the target is known here but not published yet.
        return true;
    }
    const bool isOfKnownStart = known != nullptr && known->key == record.identity.key();
    return (isReplaced && !isOfKnownStart) || (known != nullptr && known->record.revision > record.revision);
}

/// Returns whether an entry claims the identity of a target that is published under another name or, as far
/// as the configuration tells, for another service.
bool TargetDirectory::isConflicting(const TargetRecord &record, bool isNamed)
{
    const KnownTarget *const known = find(record.identity.key());
    if (known == nullptr || !known->isAssigned) {
        return false;
    }
    const bool isOtherService = !isNamed && known->record.service != record.service;
    return known->record.name != record.name || isOtherService;
}

/// Ends the previous start of a target that has restarted under the same id: its flows are lost. An entry
/// whose service is not named proves no restart, but it has replaced the entry of the target.
void TargetDirectory::endPreviousStart(const TargetRecord &record, bool isNamed, TimePoint now)
{
    KnownTarget *const previous = targetNamed(record.name);
    if (previous == nullptr || previous->key == record.identity.key()) {
        return;
    }
    if (isNamed || !previous->isAssigned) {
        const bool isLater = startsLater(record, *previous);
        markGone(*previous, isLater ? TargetEnd::LaterStart : TargetEnd::EarlierStart, now);
    } else {
        lapse(*previous, now);
    }
}

void TargetDirectory::put(const TargetRecord &record, TimePoint now)
{
    raiseEra(record, now);
    if (isOutdated(record)) {
        return;
    }
    if (const Duration grace = holdTime(record, now); grace > Duration::zero()) {
        hold(record, grace, now);
        return;
    }
    const KnownTarget *const known = targetNamed(record.name);
    if (known != nullptr && known->record.revision > record.revision) {
        // What stands in the store is a late write of the earlier start that was believed until now.
        hold(known->record, m_timing.rivalGrace, now);
    }
    if (const auto held = m_held.find(record.name);
        held != m_held.end() && held->second.record.revision < record.revision) {
        m_held.erase(held);
    }
    apply(record, now);
}

void TargetDirectory::apply(const TargetRecord &record, TimePoint now)
{
    const std::uint64_t key = record.identity.key();
    const bool isNamed = m_services.contains(record.service);
    if (isConflicting(record, isNamed)) {
        ++m_conflictingEntries;
        remove(record.name, record.revision, now);
        return;
    }
    endPreviousStart(record, isNamed, now);
    const auto [position, isNew] = m_targets.try_emplace(key);
    KnownTarget &target = position->second;
    const bool wasDraining = target.record.isDraining;
    // The copy of an entry that was known before the store was restored says nothing new of the slow start.
    const bool isKnownEntry = eraOf(target.record.revision) < eraOf(record.revision)
        || (m_era > 0 && target.record.revision == record.revision);
    const bool isCopied = !isNew && isKnownEntry;
    if (isNew || (!isCopied && record.revision != target.record.revision)) {
        target.coldUntil
            = std::max<TimePoint>(target.coldUntil, now + std::min(record.warmUpLeft, LongestColdTime));
    }
    releaseAddress(target);
    target.record = record;
    target.key = key;
    target.isAssigned = target.isAssigned || isNamed;
    claimAddress(target);
    if (!isCopied) {
        target.warmUpEndsAt = now + record.warmUpLeft;
    }
    if (isNew || target.presence != TargetPresence::Listed) {
        setPresence(target, TargetPresence::Listed, now);
    }
    if (record.isDraining && !wasDraining) {
        target.drainingSince = now;
    }
    m_byName[record.name] = key;
    assignAddress(record.address);
    m_areIndexesStale = true;
}

/// Returns whether the entry of a target stands in the store.
bool TargetDirectory::isPublished(const KnownTarget &target) const
{
    const auto named = m_byName.find(target.record.name);
    const auto removal = m_removals.find(target.record.name);
    const bool isRemoved = removal != m_removals.end() && removal->second >= target.record.revision;
    return named != m_byName.end() && named->second == target.key && !isRemoved
        && !m_held.contains(target.record.name);
}

void TargetDirectory::setPresence(KnownTarget &target, TargetPresence presence, TimePoint now)
{
    target.presence = presence;
    target.end = TargetEnd::None;
    target.presenceSince = now;
    assignAddress(target.record.address);
    if (presence != TargetPresence::Listed) {
        m_watched.insert(target.key);
    }
}

void TargetDirectory::lapse(KnownTarget &target, TimePoint now)
{
    if (target.presence == TargetPresence::Listed) {
        setPresence(target, TargetPresence::Lapsed, now);
    }
}

void TargetDirectory::markGone(KnownTarget &target, TargetEnd end, TimePoint now)
{
    if (target.presence != TargetPresence::Gone) {
        setPresence(target, TargetPresence::Gone, now);
        target.end = end;
        m_areIndexesStale = true;
    }
}

void TargetDirectory::remove(const std::string &name, std::uint64_t revision, TimePoint now)
{
    KnownTarget *const target = targetNamed(name);
    if (target == nullptr && m_removals.size() >= MaximumRemovals) {
        markRemovalsUnknownUpTo(revision);
        return;
    }
    std::uint64_t &removal = m_removals[name];
    removal = std::max(removal, revision);
    if (const auto held = m_held.find(name);
        held != m_held.end() && held->second.record.revision <= revision) {
        m_held.erase(held);
    }
    if (target != nullptr && target->record.revision <= revision) {
        lapse(*target, now);
    }
}

void TargetDirectory::replaceAll(
    const std::vector<TargetRecord> &records, std::uint64_t revision, TimePoint now)
{
    std::set<std::string> names;
    for (const TargetRecord &record : records) {
        names.insert(record.name);
        put(record, now);
    }
    dropHeldRecords(names, revision);
    std::vector<std::string> missing;
    for (const auto &[key, target] : m_targets) {
        const bool isMissing = target.presence == TargetPresence::Listed
            && !names.contains(target.record.name) && target.record.revision <= revision;
        if (isMissing) {
            missing.push_back(target.record.name);
        }
    }
    for (const std::string &name : missing) {
        remove(name, revision, now);
    }
}

void TargetDirectory::markCold(std::uint64_t key, Duration duration, TimePoint now)
{
    if (KnownTarget *const target = find(key)) {
        target->coldUntil = std::max<TimePoint>(target->coldUntil, now + duration);
    }
}

void TargetDirectory::markReplaced(std::uint64_t key, TimePoint now)
{
    if (KnownTarget *const target = find(key)) {
        markGone(*target, TargetEnd::AnsweredByOther, now);
    }
}

void TargetDirectory::addTombstone(const TargetRecord &record, TimePoint now)
{
    const std::uint64_t key = record.identity.key();
    const auto [position, isNew] = m_targets.try_emplace(key);
    if (!isNew) {
        return;
    }
    KnownTarget &target = position->second;
    target.record = record;
    target.key = key;
    markGone(target, TargetEnd::PeerReport, now);
}

void TargetDirectory::expire(
    TimePoint now, const std::function<void(std::uint64_t)> &forget, TimePoint provedAt)
{
    m_evacuations.expire(m_timing.lapseGrace, now);
    applyHeldRecords(provedAt, now);
    for (auto position = m_watched.begin(); position != m_watched.end();) {
        const std::uint64_t key = *position;
        const auto found = m_targets.find(key);
        assert(found != m_targets.end() && "a watched target must be known");
        KnownTarget &target = found->second;
        if (target.presence == TargetPresence::Lapsed && now - target.presenceSince >= m_timing.lapseGrace) {
            markGone(target, TargetEnd::EntryMissing, now);
        }
        const bool wasWronglyProved = target.end == TargetEnd::AnsweredByOther && isPublished(target)
            && std::min(now, provedAt) - target.presenceSince >= m_timing.rivalGrace;
        if (wasWronglyProved) {
            setPresence(target, TargetPresence::Listed, now);
            m_areIndexesStale = true;
        }
        const bool isForgotten = target.presence == TargetPresence::Gone
            && now - target.presenceSince >= m_timing.tombstoneLifetime;
        const bool isSettled
            = target.presence == TargetPresence::Listed && target.evidence.hasNoRecentSilence(now);
        position = isForgotten || isSettled ? m_watched.erase(position) : std::next(position);
        if (isForgotten) {
            forget(key);
            eraseTarget(found);
        }
    }
}

void TargetDirectory::eraseTarget(std::map<std::uint64_t, KnownTarget>::iterator position)
{
    const auto &[key, target] = *position;
    if (const auto named = m_byName.find(target.record.name);
        named != m_byName.end() && named->second == key) {
        m_byName.erase(named);
        if (const auto removal = m_removals.find(target.record.name); removal != m_removals.end()) {
            markRemovalsUnknownUpTo(removal->second);
            m_removals.erase(removal);
        }
    }
    releaseAddress(target);
    m_targets.erase(position);
    m_areIndexesStale = true;
}

void TargetDirectory::refreshIndexes()
{
    if (!m_areIndexesStale) {
        return;
    }
    m_areIndexesStale = false;
    m_tokens.clear();
    m_byService.clear();
    for (auto &[key, target] : m_targets) {
        for (unsigned number = 0; number < TokensPerTarget; ++number) {
            m_tokens.emplace_back(steeringToken(key, number), key);
        }
        if (target.presence != TargetPresence::Gone && !target.isDisplaced) {
            m_byService[target.record.service].push_back(&target);
        }
    }
    std::sort(m_tokens.begin(), m_tokens.end());
}

/// Returns whether more than one known target has a token.
bool TargetDirectory::isShared(SteeringToken token) const
{
    const auto first = std::lower_bound(m_tokens.begin(), m_tokens.end(), std::pair(token, std::uint64_t{0}));
    return first != m_tokens.end() && std::next(first) != m_tokens.end() && std::next(first)->first == token;
}

KnownTarget *TargetDirectory::findByToken(SteeringToken token)
{
    refreshIndexes();
    const auto first = std::lower_bound(m_tokens.begin(), m_tokens.end(), std::pair(token, std::uint64_t{0}));
    const bool isKnown = first != m_tokens.end() && first->first == token;
    return isKnown && !isShared(token) ? find(first->second) : nullptr;
}

SteeringToken TargetDirectory::tokenFor(const KnownTarget &target, std::uint64_t flowHash)
{
    refreshIndexes();
    for (unsigned attempt = 0; attempt < TokensPerTarget; ++attempt) {
        const unsigned number = static_cast<unsigned>((flowHash + attempt) % TokensPerTarget);
        const SteeringToken token = steeringToken(target.key, number);
        if (!isShared(token)) {
            return token;
        }
    }
    return NoToken;
}

const std::vector<KnownTarget *> &TargetDirectory::targetsOfService(const std::string &service)
{
    static const std::vector<KnownTarget *> none;
    refreshIndexes();
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? none : found->second;
}

std::vector<TargetRemoval> TargetDirectory::removalsAfter(std::uint64_t revision) const
{
    std::vector<TargetRemoval> removals;
    for (const auto &[name, removal] : m_removals) {
        if (removal > revision) {
            removals.push_back({name, removal});
        }
    }
    return removals;
}

std::vector<std::string> TargetDirectory::silentDataCentres(
    const std::string &own, Duration patience, TimePoint now) const
{
    std::vector<std::string> silent;
    for (const auto &[dataCentre, openings] : m_openings) {
        if (dataCentre != own && (openings.isProbing(now) || openings.isOverdue(patience, now))) {
            silent.push_back(dataCentre);
        }
    }
    return silent;
}

std::size_t TargetDirectory::listedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(),
        [](const auto &item) { return item.second.presence == TargetPresence::Listed; }));
}

std::size_t TargetDirectory::unassignedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [](const auto &item) {
        return item.second.presence == TargetPresence::Listed && !item.second.isAssigned;
    }));
}

} // namespace jasminequay
