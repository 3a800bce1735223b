#include "jasminequay/Fleet/changehistory.h"

namespace jasminequay
{

/// The most entries in one message. At about a hundred bytes each, a message takes at most three packets on
/// an Ethernet link. Peers that lack more fetch it.
constexpr std::size_t MaximumEntriesPerMessage = 40;

static std::size_t entryCount(const DirectoryChanges &changes)
{
    return changes.targets.size() + changes.removals.size();
}

void ChangeHistory::add(DirectoryChanges changes)
{
    const bool isContinued = !m_changes.empty() && m_changes.back().revision == changes.after;
    if (!isContinued || changes.completeReadRevision > 0) {
        m_changes.clear();
    }
    const bool isEmpty = entryCount(changes) == 0;
    if (isEmpty && !m_changes.empty()) {
        m_changes.back().revision = changes.revision;
        return;
    }
    m_changes.push_back(std::move(changes));
    std::size_t total = 0;
    for (const DirectoryChanges &kept : m_changes) {
        total += entryCount(kept);
    }
    while (total > MaximumEntriesPerMessage && !m_changes.empty()) {
        total -= entryCount(m_changes.front());
        m_changes.pop_front();
    }
}

DirectoryChanges ChangeHistory::all() const
{
    DirectoryChanges merged;
    if (m_changes.empty()) {
        return merged;
    }
    merged.after = m_changes.front().after;
    merged.revision = m_changes.back().revision;
    merged.completeReadRevision = m_changes.front().completeReadRevision;
    for (const DirectoryChanges &changes : m_changes) {
        merged.targets.insert(merged.targets.end(), changes.targets.begin(), changes.targets.end());
        merged.removals.insert(merged.removals.end(), changes.removals.begin(), changes.removals.end());
    }
    return merged;
}

} // namespace jasminequay
