// What the store holds: the entries of targets by name, as far as an instance knows them.
#pragma once

#include "jasminequay/Steering/directoryupdate.h"
#include "jasminequay/Steering/storerevision.h"
#include "jasminequay/Support/timepoint.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jasminequay
{

/// The entries and removals by name. For each name the highest revision counts, so that the table does not
/// depend on the order in which they are heard. It knows nothing of targets: any program may write entries.
class EntryTable
{
public:
    /// Removals of unknown entries are recorded only while fewer removals than this are stored.
    static constexpr std::size_t MaximumRemovals = 10000;

    /// Stores an entry; returns false if a newer one, or its removal, is known.
    bool put(const TargetRecord &record);

    /// Stores the removal of an entry; returns false if a newer entry or removal is known.
    bool remove(const std::string &name, StoreRevision revision, TimePoint now);

    /// Returns the entry that stands under a name; null if there is none.
    [[nodiscard]] const TargetRecord *find(const std::string &name) const;

    /// Returns whether the removal of an entry is known.
    [[nodiscard]] bool isRemoved(const TargetRecord &record) const;

    /// Returns the highest revision of a removal of an entry; zero if none is known.
    [[nodiscard]] StoreRevision removedAt(const std::string &name) const;

    /// Calls a function with each entry that stands.
    void forEach(const std::function<void(const TargetRecord &)> &function) const;

    /// Returns the names of the standing entries up to a revision that a complete list at it lacks.
    [[nodiscard]] std::vector<std::string> missingFrom(
        const std::set<std::string> &listed, StoreRevision revision) const;

    /// Returns the removals after a revision.
    [[nodiscard]] std::vector<TargetRemoval> removalsAfter(StoreRevision revision) const;

    /// Returns the revision after which all removals are known. A peer with an older revision must receive
    /// the complete list, as the entries removed since cannot be enumerated.
    [[nodiscard]] StoreRevision removalsKnownSince() const
    {
        return m_removalsKnownSince;
    }

    /// Records that removals up to a revision are not known.
    void markRemovalsUnknownUpTo(StoreRevision revision);

    /// Forgets the removals that were heard before a time.
    void forgetRemovals(TimePoint heardBefore);

private:
    /// A name's latest entry or removal.
    struct Entry {
        TargetRecord record; ///< Of a removal only the name and the revision.
        bool isRemoved = false;
        StoreRevision removedAt = 0; ///< The highest revision of a removal; zero if none is known.
    };

    std::map<std::string, Entry> m_entries;
    std::size_t m_removalCount = 0;
    StoreRevision m_removalsKnownSince = 0;
    /// The removals by the time at which they were heard; some have been replaced by entries since.
    std::deque<std::pair<TimePoint, TargetRemoval>> m_removalTimes;
};

} // namespace jasminequay
