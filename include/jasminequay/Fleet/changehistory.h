// The latest changes of the directory, for peers that missed a message or two.
#pragma once

#include "jasminequay/Fleet/fleetnews.h"

#include <deque>

namespace jasminequay
{

/// Remembers the changes of the last few reads, as many as fit into a datagram.
class ChangeHistory
{
public:
    /// Adds what changed between two revisions.
    void add(DirectoryChanges changes);

    /// Returns all remembered changes as one.
    [[nodiscard]] DirectoryChanges all() const;

private:
    std::deque<DirectoryChanges> m_changes; ///< Each one continues the one before it.
};

} // namespace jasminequay
