#include "jasminequay/Fleet/changehistory.h"

namespace jasminequay
{

/// Entries that are handed on at once: about a hundred bytes each, so that a message takes three packets on
/// an Ethernet link at the most. Whoever lacks more fetches it.
constexpr std::size_t MaximumEntries = 40;

static std::size_t entriesOf(const DirectoryChanges &changes)
{
    return changes.targets.size() + changes.removals.size();
}

void ChangeHistory::add(DirectoryChanges changes)
{
    const bool isContinued = !m_changes.empty() && m_changes.back().revision == changes.after;
    if (!isContinued || changes.completeReadRevision > 0) {
        m_changes.clear();
    }
    const bool isEmpty = entriesOf(changes) == 0;
    if (isEmpty && !m_changes.empty()) {
        m_changes.back().revision = changes.revision;
        return;
    }
    m_changes.push_back(std::move(changes));
    std::size_t total = 0;
    for (const DirectoryChanges &kept : m_changes) {
        total += entriesOf(kept);
    }
    while (total > MaximumEntries && !m_changes.empty()) {
        total -= entriesOf(m_changes.front());
        m_changes.pop_front();
    }
}

DirectoryChanges ChangeHistory::all() const
{
    DirectoryChanges joined;
    if (m_changes.empty()) {
        return joined;
    }
    joined.after = m_changes.front().after;
    joined.revision = m_changes.back().revision;
    joined.completeReadRevision = m_changes.front().completeReadRevision;
    for (const DirectoryChanges &changes : m_changes) {
        joined.targets.insert(joined.targets.end(), changes.targets.begin(), changes.targets.end());
        joined.removals.insert(joined.removals.end(), changes.removals.begin(), changes.removals.end());
    }
    return joined;
}

} // namespace jasminequay
