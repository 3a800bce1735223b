#include "jasminequay/Steering/targetdirectory.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace jasminequay
{

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

void TargetDirectory::setServices(std::set<std::string, std::less<>> services, TimePoint now)
{
    std::set<std::string, std::less<>> added;
    for (const std::string &service : services) {
        if (m_knownServices.insert(service).second) {
            added.insert(service);
        }
    }
    m_services = std::move(services);
    if (!added.empty()) {
        considerServices(added, now);
    }
    for (const auto &[key, target] : m_targets) {
        assignAddress(target.record.address);
    }
    m_areIndexesStale = true;
}

/// Takes the entries of services that are named for the first time for those of targets.
void TargetDirectory::considerServices(const std::set<std::string, std::less<>> &added, TimePoint now)
{
    std::vector<TargetRecord> records;
    m_entries.forEach([&](const TargetRecord &record) {
        if (added.contains(record.service) && !m_held.contains(record.name)) {
            records.push_back(record);
        }
    });
    for (const TargetRecord &record : records) {
        consider(record, now);
    }
}

void TargetDirectory::put(const TargetRecord &record, TimePoint now)
{
    raiseEra(record, now);
    if (m_entries.put(record)) {
        consider(record, now);
    } else if (!m_entries.isRemoved(record)) {
        considerReplaced(record, now);
    }
}

/// Takes over the record of a target, and what it says of its slow start.
void TargetDirectory::setRecord(KnownTarget &target, const TargetRecord &record, bool isNew, TimePoint now)
{
    const bool wasDraining = target.record.isDraining;
    // The copy of an entry that was known before the store was restored says nothing new of the slow start.
    const bool isCopied = !isNew && eraOf(target.record.revision) < eraOf(record.revision);
    if (!isCopied) {
        target.coldUntil
            = std::max<TimePoint>(target.coldUntil, now + std::min(record.warmUpLeft, LongestColdTime));
        target.warmUpEndsAt = now + record.warmUpLeft;
    }
    releaseAddress(target);
    target.record = record;
    claimAddress(target);
    if (record.isDraining && !wasDraining) {
        target.drainingSince = now;
    }
}

/// Returns whether the entry of a target stands in the store.
bool TargetDirectory::isPublished(const KnownTarget &target) const
{
    const NamedStart *const start = startNamed(target.record.name);
    return start != nullptr && start->isStanding && start->record.identity == target.record.identity
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
    if (m_entries.remove(name, revision, now)) {
        m_held.erase(name);
        markMissing(name, now);
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
    for (const std::string &name : m_entries.missingFrom(names, revision)) {
        remove(name, revision, now);
    }
}

std::vector<TargetRecord> TargetDirectory::recordsAfter(StoreRevision revision, TimePoint now) const
{
    std::vector<TargetRecord> records;
    const auto add = [&](const TargetRecord &record) {
        if (record.revision <= revision) {
            return;
        }
        records.push_back(record);
        const auto found = m_targets.find(record.identity.key());
        if (found != m_targets.end() && found->second.record.revision == record.revision) {
            const TimePoint coldUntil = std::max(found->second.warmUpEndsAt, found->second.coldUntil);
            records.back().warmUpLeft = std::max<Duration>(coldUntil - now, Duration::zero());
        }
    };
    for (const auto &[name, start] : m_starts) {
        const TargetRecord *const standing = m_entries.find(name);
        if (standing == nullptr || standing->revision != start.record.revision) {
            add(start.record);
        }
    }
    m_entries.forEach(add);
    return records;
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
    TimePoint now, const std::function<void(std::uint64_t)> &forget, std::optional<TimePoint> provedAt)
{
    m_provedAt = provedAt ? std::min(*provedAt, now) : now;
    m_evacuations.expire(m_timing.lapseGrace, now);
    m_entries.forgetRemovals(now - m_timing.tombstoneLifetime);
    applyHeldRecords(now);
    for (auto position = m_watched.begin(); position != m_watched.end();) {
        const std::uint64_t key = *position;
        const auto found = m_targets.find(key);
        assert(found != m_targets.end() && "a watched target must be known");
        KnownTarget &target = found->second;
        const bool isMissing = target.presence == TargetPresence::Lapsed
            && (observedSince(target.presenceSince) >= m_timing.lapseGrace
                || now - target.presenceSince >= m_timing.tombstoneLifetime);
        if (isMissing) {
            drop(std::string(target.record.name), TargetEnd::EntryMissing, now);
        }
        const bool wasWronglyProved = target.end == TargetEnd::AnsweredByOther && isPublished(target)
            && observedSince(target.presenceSince) >= m_timing.rivalGrace;
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
            // An entry that stands all the same is that of another target now.
            refreshTarget(key, TargetEnd::EntryMissing, now);
        }
    }
}

void TargetDirectory::eraseTarget(std::map<std::uint64_t, KnownTarget>::iterator position)
{
    releaseAddress(position->second);
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
    std::size_t count = 0;
    m_entries.forEach([&](const TargetRecord &record) { count += isAssigned(record.service) ? 0 : 1; });
    return count;
}

} // namespace jasminequay
