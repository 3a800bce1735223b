// The part of the target directory that handles a store that was restored from an older copy.
#include "jasminequay/Steering/targetdirectory.h"

namespace jasminequay
{

/// Returns whether an entry of a new era shows an older state than the one known here: the copy was made
/// before the target said that it drains, before it started again, before it ended, or before its address
/// went to another target that may still have it.
bool TargetDirectory::isFromOlderCopy(const TargetRecord &record)
{
    const auto isOfEarlierEra = [&record](const KnownTarget *target) {
        return target != nullptr && eraOf(target->record.revision) < eraOf(record.revision);
    };
    const auto named = m_byName.find(record.name);
    const KnownTarget *const known = named == m_byName.end() ? nullptr : find(named->second);
    if (isOfEarlierEra(known)) {
        const bool isSameStart = known->key == record.identity.key();
        const bool isEnded = isSameStart && known->presence == TargetPresence::Gone;
        const bool isReadyAgain = isSameStart && known->record.isDraining && !record.isDraining;
        const bool isOlderStart
            = !isSameStart && record.identity.startedAt < known->record.identity.startedAt;
        return isEnded || isReadyAgain || isOlderStart;
    }
    const auto addressed = m_byAddress.find(record.address.packed());
    const KnownTarget *const other = addressed == m_byAddress.end() ? nullptr : find(addressed->second);
    return known == nullptr && isOfEarlierEra(other) && other->presence != TargetPresence::Gone
        && other->record.address == record.address && other->key != record.identity.key();
}

/// Returns whether an entry is held back. A newer one of the same era shows that it was written again, and
/// what comes later than the grace period after the begin of an era was written in it.
bool TargetDirectory::isHeld(const TargetRecord &record, TimePoint now)
{
    if (const std::uint32_t era = eraOf(record.revision); era > m_era) {
        m_era = era;
        m_eraSince = now;
    }
    const auto held = m_held.find(record.name);
    if (held != m_held.end() && held->second.record.revision >= record.revision) {
        return true;
    }
    const bool isWrittenAgain
        = held != m_held.end() && eraOf(held->second.record.revision) == eraOf(record.revision);
    const bool isEraNew = m_era > 0 && now - m_eraSince < m_timing.lapseGrace;
    if (isEraNew && !isWrittenAgain && isFromOlderCopy(record)) {
        m_held.insert_or_assign(record.name, HeldRecord{record, now + m_timing.lapseGrace});
        return true;
    }
    if (held != m_held.end()) {
        m_held.erase(held);
    }
    return false;
}

void TargetDirectory::dropHeldRecords(const std::set<std::string> &listed, StoreRevision revision)
{
    std::erase_if(m_held, [&](const auto &item) {
        return item.second.record.revision <= revision && !listed.contains(item.first);
    });
}

void TargetDirectory::applyHeldRecords(TimePoint now)
{
    for (auto position = m_held.begin(); position != m_held.end();) {
        if (now < position->second.until) {
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
