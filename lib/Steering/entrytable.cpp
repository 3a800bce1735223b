#include "jasminequay/Steering/entrytable.h"

#include <algorithm>

namespace jasminequay
{

bool EntryTable::put(const TargetRecord &record)
{
    const auto [position, isNew] = m_entries.try_emplace(record.name);
    Entry &entry = position->second;
    if (!isNew && (entry.record.revision > record.revision || isRemoved(record))) {
        return false;
    }
    m_removalCount -= entry.isRemoved ? 1 : 0;
    entry.record = record;
    entry.isRemoved = false;
    return true;
}

bool EntryTable::remove(const std::string &name, StoreRevision revision, TimePoint now)
{
    const auto found = m_entries.find(name);
    if (found == m_entries.end() && m_removalCount >= MaximumRemovals) {
        markRemovalsUnknownUpTo(revision);
        return false;
    }
    Entry &entry = found == m_entries.end() ? m_entries[name] : found->second;
    const bool isOutdated
        = entry.record.revision > revision || (entry.isRemoved && entry.record.revision == revision);
    if (isOutdated) {
        return false;
    }
    m_removalCount += entry.isRemoved ? 0 : 1;
    entry = Entry{{}, true, revision};
    entry.record.name = name;
    entry.record.revision = revision;
    m_removalTimes.emplace_back(now, TargetRemoval{name, revision});
    return true;
}

const TargetRecord *EntryTable::find(const std::string &name) const
{
    const auto found = m_entries.find(name);
    return found == m_entries.end() || found->second.isRemoved ? nullptr : &found->second.record;
}

StoreRevision EntryTable::removedAt(const std::string &name) const
{
    const auto found = m_entries.find(name);
    return found == m_entries.end() ? 0 : found->second.removedAt;
}

bool EntryTable::isRemoved(const TargetRecord &record) const
{
    const StoreRevision removedAt = this->removedAt(record.name);
    return removedAt > 0 && removedAt >= record.revision;
}

void EntryTable::forEach(const std::function<void(const TargetRecord &)> &function) const
{
    for (const auto &[name, entry] : m_entries) {
        if (!entry.isRemoved) {
            function(entry.record);
        }
    }
}

std::vector<std::string> EntryTable::missingFrom(
    const std::set<std::string> &listed, StoreRevision revision) const
{
    std::vector<std::string> missing;
    for (const auto &[name, entry] : m_entries) {
        if (!entry.isRemoved && entry.record.revision <= revision && !listed.contains(name)) {
            missing.push_back(name);
        }
    }
    return missing;
}

std::vector<TargetRemoval> EntryTable::removalsAfter(StoreRevision revision) const
{
    std::vector<TargetRemoval> removals;
    for (const auto &[name, entry] : m_entries) {
        if (entry.isRemoved && entry.record.revision > revision) {
            removals.push_back({name, entry.record.revision});
        }
    }
    return removals;
}

void EntryTable::markRemovalsUnknownUpTo(StoreRevision revision)
{
    m_removalsKnownSince = std::max(m_removalsKnownSince, revision);
}

void EntryTable::forgetRemovals(TimePoint heardBefore)
{
    while (!m_removalTimes.empty() && m_removalTimes.front().first <= heardBefore) {
        const TargetRemoval removal = std::move(m_removalTimes.front().second);
        m_removalTimes.pop_front();
        const auto found = m_entries.find(removal.name);
        const bool isCurrent = found != m_entries.end() && found->second.isRemoved
            && found->second.record.revision == removal.revision;
        if (isCurrent) {
            markRemovalsUnknownUpTo(removal.revision);
            m_entries.erase(found);
            --m_removalCount;
        }
    }
}

} // namespace jasminequay
