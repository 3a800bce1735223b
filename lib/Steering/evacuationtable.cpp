#include "jasminequay/Steering/evacuationtable.h"

#include <algorithm>
#include <set>

namespace jasminequay
{

/// The most bytes that the entries take in a message. The whole table is part of each message between
/// instances, so entries that name no data centre must not make the messages larger than peers take.
constexpr std::size_t MaximumTableBytes = 2000;

/// The encoded size of an entry without the name of the data centre, in bytes.
constexpr std::size_t EntryOverhead = 20;

/// Returns whether an entry is forgotten before another one if the table is too large: ended entries first,
/// the oldest of them before the others, then the newest active entry.
static bool isForgottenEarlier(const EvacuationRecord &left, const EvacuationRecord &right)
{
    if (left.isActive != right.isActive) {
        return right.isActive;
    }
    return left.isActive ? left.revision > right.revision : left.revision < right.revision;
}

/// Returns whether `record` replaces `known`. A complete table can show the end of an entry at the revision
/// of the entry itself, so the end wins.
static bool isNewer(const EvacuationRecord &record, const EvacuationRecord &known)
{
    const bool isEndOfKnown = record.revision == known.revision && known.isActive && !record.isActive;
    return record.revision > known.revision || isEndOfKnown;
}

void EvacuationTable::put(const EvacuationRecord &record)
{
    const auto known = m_records.find(record.dataCentre);
    if (known == m_records.end()) {
        m_records.emplace(record.dataCentre, record);
        ++m_changeCount;
    } else if (isNewer(record, known->second)) {
        known->second = record;
        ++m_changeCount;
    }
}

void EvacuationTable::applyChanges(
    const std::vector<EvacuationRecord> &changes, StoreRevision revision, TimePoint now)
{
    for (const EvacuationRecord &record : changes) {
        put(record);
    }
    finishUpdate(revision, now);
}

/// Returns whether an entry that is not in the table has ended, and its end was forgotten: the table is
/// complete up to its revision. Entries of earlier eras may still be unknown here during their grace period.
bool EvacuationTable::isForgotten(const EvacuationRecord &record) const
{
    const bool isInGrace = m_isGracePending && eraOf(record.revision) < eraOf(m_revision);
    return record.revision <= m_revision && !isInGrace && !m_records.contains(record.dataCentre);
}

void EvacuationTable::mergeAll(
    const std::vector<EvacuationRecord> &records, StoreRevision revision, TimePoint now)
{
    std::set<std::string> listed;
    for (const EvacuationRecord &record : records) {
        listed.insert(record.dataCentre);
        if (!isForgotten(record)) {
            put(record);
        }
    }
    for (auto &[dataCentre, known] : m_records) {
        const bool isSameEra = eraOf(known.revision) == eraOf(revision);
        const bool isMissing = known.revision <= revision && isSameEra && !listed.contains(dataCentre);
        if (known.isActive && isMissing) {
            put({dataCentre, revision, false});
        }
    }
    finishUpdate(revision, now);
}

void EvacuationTable::expire(Duration grace, TimePoint now)
{
    if (!m_isGracePending || now - m_eraSince < grace) {
        return;
    }
    m_isGracePending = false;
    // The same revision at all instances, lower than any entry of the era.
    const StoreRevision end = storeRevision(eraOf(m_revision), 0);
    for (auto &[dataCentre, known] : m_records) {
        if (known.isActive && known.revision < end) {
            put({dataCentre, end, false});
        }
    }
    refresh();
}

/// Raises the known revision.
void EvacuationTable::finishUpdate(StoreRevision revision, TimePoint now)
{
    if (eraOf(revision) > eraOf(m_revision)) {
        m_eraSince = now;
        m_isGracePending = true;
    }
    m_revision = std::max(m_revision, revision);
    refresh();
}

/// Bounds the table and lists the evacuated data centres anew.
void EvacuationTable::refresh()
{
    std::size_t bytes = 0;
    for (const auto &[dataCentre, record] : m_records) {
        bytes += EntryOverhead + dataCentre.size();
    }
    while (bytes > MaximumTableBytes) {
        const auto forgotten
            = std::min_element(m_records.begin(), m_records.end(), [](const auto &left, const auto &right) {
                  return isForgottenEarlier(left.second, right.second);
              });
        bytes -= EntryOverhead + forgotten->first.size();
        m_records.erase(forgotten);
    }
    m_evacuated.clear();
    for (const auto &[dataCentre, record] : m_records) {
        if (record.isActive) {
            m_evacuated.push_back(dataCentre);
        }
    }
}

std::vector<EvacuationRecord> EvacuationTable::records() const
{
    std::vector<EvacuationRecord> all;
    for (const auto &[dataCentre, record] : m_records) {
        all.push_back(record);
    }
    return all;
}

bool EvacuationTable::isEvacuated(const std::string &dataCentre) const
{
    return std::find(m_evacuated.begin(), m_evacuated.end(), dataCentre) != m_evacuated.end();
}

} // namespace jasminequay
