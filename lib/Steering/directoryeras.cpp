// The part of the target directory that handles entries that contradict what is known: late writes, and those
// of a store that was restored from an older copy.
#include "jasminequay/Steering/targetdirectory.h"

#include <algorithm>

namespace jasminequay
{

/// Returns whether an entry of a new era shows an older state than the one known here: the copy was made
/// before the target said that it drains, before it ended, or before its address went to another target that
/// may still have it.
bool TargetDirectory::isFromOlderCopy(const TargetRecord &record)
{
    const auto isOfEarlierEra = [&record](const KnownTarget *target) {
        return target != nullptr && eraOf(target->record.revision) < eraOf(record.revision);
    };
    const KnownTarget *const known = targetNamed(record.name);
    if (isOfEarlierEra(known)) {
        const bool isSameStart = known->key == record.identity.key();
        const bool isEnded = isSameStart && known->presence == TargetPresence::Gone;
        const bool isReadyAgain = isSameStart && known->record.isDraining && !record.isDraining;
        return isEnded || isReadyAgain;
    }
    const auto addressed = m_byAddress.find(record.address.packed());
    if (known != nullptr || addressed == m_byAddress.end()) {
        return false;
    }
    return std::any_of(addressed->second.begin(), addressed->second.end(), [&](std::uint64_t key) {
        const KnownTarget &other = m_targets.at(key);
        return isOfEarlierEra(&other) && other.presence != TargetPresence::Gone
            && key != record.identity.key();
    });
}

/// Returns whether an entry is of a later start than a known target. The time of a start orders the starts
/// under one id, unless the clock was set back in between: a start that has ended is not a later one.
bool TargetDirectory::startsLater(const TargetRecord &record, const KnownTarget &known)
{
    const KnownTarget *const start = find(record.identity.key());
    const bool isEnded = start != nullptr && start->presence == TargetPresence::Gone;
    return record.identity.startedAt > known.record.identity.startedAt && !isEnded;
}

/// Returns whether an entry is of an earlier start than the one that is believed: a write that the store has
/// done late, or the first entry after the clock of its machine was set back.
bool TargetDirectory::isOfEarlierStart(const TargetRecord &record)
{
    const KnownTarget *const known = targetNamed(record.name);
    return known != nullptr && known->isAssigned && known->key != record.identity.key()
        && m_services.contains(record.service) && !startsLater(record, *known);
}

void TargetDirectory::raiseEra(const TargetRecord &record, TimePoint now)
{
    if (const std::uint32_t era = eraOf(record.revision); era > m_era) {
        m_era = era;
        m_eraSince = now;
    }
}

/// Returns how long an entry must stand before it counts; zero if it counts at once. In a new era, a newer
/// entry of the same era shows that it was written again, and what comes later than the grace period after
/// the begin of an era was written in it.
Duration TargetDirectory::holdTime(const TargetRecord &record, TimePoint now)
{
    if (isOfEarlierStart(record)) {
        return m_timing.rivalGrace;
    }
    const auto held = m_held.find(record.name);
    const bool isWrittenAgain
        = held != m_held.end() && eraOf(held->second.record.revision) == eraOf(record.revision);
    const bool isEraNew = m_era > 0 && now - m_eraSince < m_timing.lapseGrace;
    return isEraNew && !isWrittenAgain && isFromOlderCopy(record) ? m_timing.lapseGrace : Duration::zero();
}

/// Holds an entry back. Its time does not start again when the same start writes it again.
void TargetDirectory::hold(const TargetRecord &record, Duration grace, TimePoint now)
{
    const auto [position, isNew] = m_held.try_emplace(record.name, HeldRecord{record, now + grace});
    if (HeldRecord &held = position->second; !isNew) {
        const bool isSameStart = held.record.identity == record.identity
            && eraOf(held.record.revision) == eraOf(record.revision);
        held = HeldRecord{record, isSameStart ? held.until : now + grace};
    }
}

void TargetDirectory::dropHeldRecords(const std::set<std::string> &listed, StoreRevision revision)
{
    std::erase_if(m_held, [&](const auto &item) {
        return item.second.record.revision <= revision && !listed.contains(item.first);
    });
}

void TargetDirectory::applyHeldRecords(TimePoint provedAt, TimePoint now)
{
    for (auto position = m_held.begin(); position != m_held.end();) {
        if (std::min(now, provedAt) < position->second.until) {
            ++position;
            continue;
        }
        const TargetRecord record = position->second.record;
        position = m_held.erase(position);
        apply(record, now);
    }
}

std::vector<TargetRecord> TargetDirectory::heldRecordsAfter(StoreRevision revision) const
{
    std::vector<TargetRecord> records;
    for (const auto &[name, held] : m_held) {
        if (held.record.revision > revision) {
            records.push_back(held.record);
        }
    }
    return records;
}

} // namespace jasminequay
