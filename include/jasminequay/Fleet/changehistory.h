// Recent directory changes, repeated in each message for peers that missed an earlier one.
#pragma once

#include "jasminequay/Fleet/fleetnews.h"

#include <deque>

namespace jasminequay
{

/// Keeps the changes of the most recent reads, as many as fit into one datagram.
class ChangeHistory
{
public:
    /// Adds what changed between two revisions.
    void add(DirectoryChanges changes);

    /// Returns all kept changes merged into one.
    [[nodiscard]] DirectoryChanges all() const;

private:
    std::deque<DirectoryChanges> m_changes; ///< Each entry starts at the revision that ends the previous one.
};

} // namespace jasminequay
