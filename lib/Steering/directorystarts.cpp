// The part of the target directory that decides which start of a target each entry stands for, and which
// entry speaks for a target. An entry that contradicts what is known is held: a late write, or one of a store
// that was restored from an older copy.
#include "jasminequay/Steering/targetdirectory.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

namespace jasminequay
{

/// Returns whether a configuration in force has named a service. Until then an entry may be that of another
/// program. A service that a later configuration no longer names keeps its targets.
bool TargetDirectory::isAssigned(const std::string &service) const
{
    return m_knownServices.contains(service);
}

const TargetDirectory::NamedStart *TargetDirectory::startNamed(const std::string &name) const
{
    const auto found = m_starts.find(name);
    return found == m_starts.end() ? nullptr : &found->second;
}

/// Returns the entry that speaks for a target; null if none does. Any program may write an entry with the
/// identity of a target: of those with a known service, the one with the shortest name is the target's own,
/// as copies have longer ones. Others speak only for a target that never had one with a known service.
const TargetDirectory::NamedStart *TargetDirectory::ownerOf(std::uint64_t key) const
{
    const auto claims = m_claims.find(key);
    if (claims == m_claims.end()) {
        return nullptr;
    }
    const auto orderOf = [this](const NamedStart &start) {
        const std::string_view name = start.record.name;
        return std::tuple(!isAssigned(start.record.service), name.size(), name);
    };
    const NamedStart *owner = nullptr;
    for (const std::string &name : claims->second) {
        const NamedStart &start = m_starts.at(name);
        if (owner == nullptr || orderOf(start) < orderOf(*owner)) {
            owner = &start;
        }
    }
    const auto target = m_targets.find(key);
    const bool needsAssigned = target != m_targets.end() && target->second.isAssigned;
    return needsAssigned && !isAssigned(owner->record.service) ? nullptr : owner;
}

/// Returns whether two entries under one name may be those of one target. Two services that no route has
/// named are not told apart from those of other programs.
bool TargetDirectory::isOfSameTarget(const TargetRecord &left, const TargetRecord &right) const
{
    return left.service == right.service || (isAssigned(left.service) && isAssigned(right.service));
}

/// Returns whether an entry is of a later start than another one of its name. The time of a start orders the
/// starts under one id, unless the clock was set back in between: a start that has ended is not a later one.
/// What peers say of its end does not count, as its own entry says more.
bool TargetDirectory::startsLater(const TargetRecord &record, const TargetRecord &other) const
{
    const auto start = m_targets.find(record.identity.key());
    const bool isEnded = start != m_targets.end() && start->second.presence == TargetPresence::Gone
        && start->second.end != TargetEnd::PeerReport;
    return record.identity.startedAt > other.identity.startedAt && !isEnded;
}

/// Returns whether an entry is of an earlier start than the one that is believed, or of one that another
/// start has ended: a write that the store has done late, or the first entry after a clock was set back.
bool TargetDirectory::isOfEarlierStart(const TargetRecord &record) const
{
    if (const NamedStart *const known = startNamed(record.name)) {
        return isOfSameTarget(record, known->record) && known->record.identity != record.identity
            && !startsLater(record, known->record);
    }
    const auto start = m_targets.find(record.identity.key());
    return start != m_targets.end()
        && (start->second.end == TargetEnd::LaterStart || start->second.end == TargetEnd::EarlierStart);
}

/// Returns whether an entry of a new era shows an older state than the one known here: the copy was made
/// before the target said that it drains, before it ended, or before its address went to another target that
/// may still have it.
bool TargetDirectory::isFromOlderCopy(const TargetRecord &record) const
{
    const auto isOfEarlierEra = [&record](const TargetRecord &other) {
        return eraOf(other.revision) < eraOf(record.revision);
    };
    if (const NamedStart *const known = startNamed(record.name)) {
        const auto target = m_targets.find(record.identity.key());
        const bool isEnded = target != m_targets.end() && target->second.presence == TargetPresence::Gone;
        const bool isReadyAgain = known->record.isDraining && !record.isDraining;
        return isOfEarlierEra(known->record) && known->record.identity == record.identity
            && (isEnded || isReadyAgain);
    }
    const auto target = m_targets.find(record.identity.key());
    const bool isEnded = target != m_targets.end() && isOfEarlierEra(target->second.record)
        && target->second.presence == TargetPresence::Gone;
    const auto addressed = m_byAddress.find(record.address.packed());
    return isEnded
        || (addressed != m_byAddress.end()
            && std::any_of(addressed->second.begin(), addressed->second.end(), [&](std::uint64_t key) {
                   const KnownTarget &other = m_targets.at(key);
                   return isOfEarlierEra(other.record) && other.presence != TargetPresence::Gone
                       && key != record.identity.key();
               }));
}

void TargetDirectory::raiseEra(const TargetRecord &record, TimePoint now)
{
    if (const std::uint32_t era = eraOf(record.revision); era > m_era) {
        m_era = era;
        m_eraSince = now;
        // What was missing from the store before has the whole grace to return.
        m_observedSince = now;
    }
}

/// Returns how long an entry must stand before it counts; zero if it counts at once. In a new era, an entry
/// that replaces another one or a removal of the same era was written in it, and so was what comes later than
/// the grace period after its begin.
Duration TargetDirectory::holdTime(const TargetRecord &record, TimePoint now) const
{
    if (isOfEarlierStart(record)) {
        return m_timing.rivalGrace;
    }
    const auto held = m_held.find(record.name);
    const bool isRepeated = held != m_held.end() && held->second.record.revision == record.revision;
    const StoreRevision replaced = held == m_held.end() || isRepeated ? m_entries.removedAt(record.name)
                                                                      : held->second.record.revision;
    const bool isWrittenAgain = replaced > 0 && eraOf(replaced) == eraOf(record.revision);
    const bool isEraNew = m_era > 0 && now - m_eraSince < m_timing.lapseGrace;
    const bool isOlderCopy = isEraNew && !isWrittenAgain && isFromOlderCopy(record);
    return isRepeated || isOlderCopy ? m_timing.lapseGrace : Duration::zero();
}

/// Holds an entry back. Its time does not start again when the same start writes it again.
void TargetDirectory::hold(const TargetRecord &record, Duration grace, TimePoint now)
{
    const auto [position, isNew] = m_held.try_emplace(record.name, HeldRecord{record, now, grace});
    if (HeldRecord &held = position->second; !isNew) {
        const bool isSameStart = held.record.identity == record.identity
            && eraOf(held.record.revision) == eraOf(record.revision);
        held = HeldRecord{record, isSameStart ? held.since : now, isSameStart ? held.grace : grace};
    }
}

/// Takes notice of an entry that stands in the store.
void TargetDirectory::consider(const TargetRecord &record, TimePoint now)
{
    const NamedStart *const known = startNamed(record.name);
    const bool isSameStart = known != nullptr && known->record.identity == record.identity;
    const bool isForeign = known != nullptr && !isAssigned(record.service)
        && !isOfSameTarget(record, known->record) && (!isSameStart || isAssigned(known->record.service));
    if (isForeign) {
        // Another program has replaced the entry of the target, which counts as missing.
        m_held.erase(record.name);
        markMissing(record.name, now);
    } else if (const Duration grace = holdTime(record, now); grace > Duration::zero()) {
        hold(record, grace, now);
        if (isSameStart) {
            markStanding(record.name, now);
        }
    } else {
        m_held.erase(record.name);
        accept(record, true, now);
    }
}

/// Takes notice of an entry that another one has replaced in the store. It is news if it is of the start that
/// is believed, or of a later one: what stands is then a late write.
void TargetDirectory::considerReplaced(const TargetRecord &record, TimePoint now)
{
    const NamedStart *const known = startNamed(record.name);
    const TargetRecord *const standing = m_entries.find(record.name);
    if (known == nullptr || standing == nullptr || !isOfSameTarget(record, known->record)) {
        return;
    }
    const bool isSameStart = known->record.identity == record.identity;
    if (isSameStart && known->record.revision < record.revision) {
        accept(record, known->isStanding, now);
    } else if (!isSameStart && startsLater(record, known->record)) {
        const bool isRival = isOfSameTarget(record, *standing);
        if (isRival) {
            hold(*standing, m_timing.rivalGrace, now);
        }
        accept(record, isRival, now);
    }
}

/// Believes the start of an entry; another one under its name has ended.
void TargetDirectory::accept(const TargetRecord &record, bool isStanding, TimePoint now)
{
    const std::uint64_t key = record.identity.key();
    const auto [position, isNew] = m_starts.try_emplace(record.name);
    NamedStart &start = position->second;
    const TargetRecord previous = std::exchange(start.record, record);
    start.isStanding = isStanding;
    const std::uint64_t previousKey = previous.identity.key();
    if (isNew || previousKey != key) {
        m_claims[key].push_back(record.name);
    }
    if (!isNew && previousKey != key) {
        const TargetEnd end = startsLater(record, previous) ? TargetEnd::LaterStart : TargetEnd::EarlierStart;
        releaseClaim(previousKey, record.name);
        refreshTarget(previousKey, end, now);
    }
    refreshTarget(key, TargetEnd::EntryMissing, now);
    m_conflictingEntries += isNew && ownerOf(key) != &start ? 1 : 0;
}

/// Records that an entry of the start that a name stands for is in the store, although it does not count yet.
void TargetDirectory::markStanding(const std::string &name, TimePoint now)
{
    NamedStart &start = m_starts.at(name);
    const KnownTarget *const target = find(start.record.identity.key());
    if (target != nullptr && target->presence == TargetPresence::Lapsed) {
        start.isStanding = true;
        refreshTarget(target->key, TargetEnd::EntryMissing, now);
    }
}

/// Records that the entry of the start that a name stands for is no longer in the store.
void TargetDirectory::markMissing(const std::string &name, TimePoint now)
{
    const auto found = m_starts.find(name);
    if (found == m_starts.end()) {
        return;
    }
    NamedStart &start = found->second;
    start.isStanding = false;
    const std::uint64_t key = start.record.identity.key();
    const KnownTarget *const target = find(key);
    const bool isAwaited
        = target != nullptr && target->presence != TargetPresence::Gone && ownerOf(key) == &start;
    if (isAwaited) {
        refreshTarget(key, TargetEnd::EntryMissing, now);
    } else {
        drop(name, TargetEnd::EntryMissing, now);
    }
}

/// Forgets the start that a name stands for. Another entry with its identity then speaks for the target, and
/// what stands under the name counts for itself.
void TargetDirectory::drop(const std::string &name, TargetEnd end, TimePoint now)
{
    const auto found = m_starts.find(name);
    const std::uint64_t key = found->second.record.identity.key();
    m_starts.erase(found);
    releaseClaim(key, name);
    refreshTarget(key, end, now);
    if (const TargetRecord *const standing = m_entries.find(name); standing && !m_held.contains(name)) {
        consider(TargetRecord(*standing), now);
    }
}

void TargetDirectory::releaseClaim(std::uint64_t key, const std::string &name)
{
    const auto claims = m_claims.find(key);
    std::erase(claims->second, name);
    if (claims->second.empty()) {
        m_claims.erase(claims);
    }
}

/// Derives what is known of a target from the entry that speaks for it. Without one it has ended, for the
/// reason `end`.
void TargetDirectory::refreshTarget(std::uint64_t key, TargetEnd end, TimePoint now)
{
    const NamedStart *const owner = ownerOf(key);
    if (owner == nullptr) {
        if (KnownTarget *const target = find(key)) {
            markGone(*target, end, now);
        }
        return;
    }
    const auto [position, isNew] = m_targets.try_emplace(key);
    KnownTarget &target = position->second;
    const bool isProvedGone
        = target.end == TargetEnd::AnsweredByOther && owner->record.revision <= target.record.revision;
    if (isProvedGone) {
        return;
    }
    target.key = key;
    target.isAssigned = target.isAssigned || isAssigned(owner->record.service);
    const bool isNews
        = owner->record.revision != target.record.revision || owner->record.name != target.record.name;
    if (isNew || isNews) {
        setRecord(target, owner->record, isNew, now);
    }
    if (!owner->isStanding) {
        lapse(target, now);
    } else if (isNew || target.presence != TargetPresence::Listed) {
        setPresence(target, TargetPresence::Listed, now);
    }
    assignAddress(target.record.address);
    m_areIndexesStale = true;
}

void TargetDirectory::observe(TimePoint at)
{
    if (at - m_observedAt > m_timing.observationGap) {
        m_observedSince = at;
    }
    m_observedAt = std::max(m_observedAt, at);
}

/// Returns for how long the store has been observed after a time, without interruption and up to the time to
/// which all changes are known.
Duration TargetDirectory::observedSince(TimePoint since) const
{
    return m_provedAt - std::max(since, m_observedSince);
}

void TargetDirectory::applyHeldRecords(TimePoint now)
{
    std::vector<TargetRecord> due;
    for (const auto &[name, held] : m_held) {
        if (observedSince(held.since) >= held.grace) {
            due.push_back(held.record);
        }
    }
    for (const TargetRecord &record : due) {
        m_held.erase(record.name);
        accept(record, true, now);
    }
}

} // namespace jasminequay
