#include "jasminequay/Fleet/changehistory.h"

namespace jasminequay
{

/// The most bytes of changes in one message, so that it takes at most three packets on an Ethernet link.
/// Peers that lack more fetch it.
constexpr std::size_t MaximumBytesPerMessage = 4000;

/// The encoded size of an entry without its texts, in bytes.
constexpr std::size_t EntryOverhead = 60;

/// Returns about how many bytes the changes take in a message, rather too many than too few.
static std::size_t messageBytes(const DirectoryChanges &changes)
{
    std::size_t bytes = 0;
    for (const TargetRecord &record : changes.targets) {
        bytes += EntryOverhead + record.name.size() + record.service.size() + record.dataCentre.size();
    }
    for (const TargetRemoval &removal : changes.removals) {
        bytes += EntryOverhead + removal.name.size();
    }
    return bytes;
}

void ChangeHistory::add(DirectoryChanges changes)
{
    const bool isContinued = !m_changes.empty() && m_changes.back().revision == changes.after;
    if (!isContinued || changes.completeReadRevision > 0) {
        m_changes.clear();
    }
    const bool isEmpty = changes.targets.empty() && changes.removals.empty();
    if (isEmpty && !m_changes.empty()) {
        m_changes.back().revision = changes.revision;
        return;
    }
    m_changes.push_back(std::move(changes));
    std::size_t total = 0;
    for (const DirectoryChanges &kept : m_changes) {
        total += messageBytes(kept);
    }
    while (total > MaximumBytesPerMessage && !m_changes.empty()) {
        total -= messageBytes(m_changes.front());
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
