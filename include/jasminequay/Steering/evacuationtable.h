// The evacuations of data centres that an instance knows. Uses no clock or socket.
#pragma once

#include "jasminequay/Steering/evacuationrecord.h"
#include "jasminequay/Steering/storerevision.h"
#include "jasminequay/Support/timepoint.h"

#include <map>
#include <string>
#include <vector>

namespace jasminequay
{

/// Merges evacuations entry by entry: the higher revision wins, whatever the order and the source. Ended
/// evacuations are kept, so that an older entry that a peer still has does not start them again.
class EvacuationTable
{
public:
    /// Applies the changes of the store up to `revision`; all changes since revision() must be among them.
    void applyChanges(const std::vector<EvacuationRecord> &changes, StoreRevision revision, TimePoint now);

    /// Merges a complete table that is known up to `revision`, from the store or from a peer. Evacuations of
    /// the same era up to that revision that it lacks have ended. With revision 0 the table may be
    /// incomplete, and nothing ends.
    void mergeAll(const std::vector<EvacuationRecord> &records, StoreRevision revision, TimePoint now);

    /// Ends evacuations of earlier eras that have not been written again for `grace` since the present era
    /// became known.
    void expire(Duration grace, TimePoint now);

    /// Returns the store revision up to which all evacuations are known.
    [[nodiscard]] StoreRevision revision() const
    {
        return m_revision;
    }

    /// Returns the number of changes that had an effect.
    [[nodiscard]] std::uint64_t changeCount() const
    {
        return m_changeCount;
    }

    /// Returns all entries, ended ones included.
    [[nodiscard]] std::vector<EvacuationRecord> records() const;

    /// Returns the data centres whose targets get no new flows.
    [[nodiscard]] const std::vector<std::string> &evacuatedDataCentres() const
    {
        return m_evacuated;
    }

    /// Returns whether the targets of a data centre get no new flows.
    [[nodiscard]] bool isEvacuated(const std::string &dataCentre) const;

private:
    void put(const EvacuationRecord &record);
    void finishUpdate(StoreRevision revision, TimePoint now);
    void refresh();
    [[nodiscard]] bool isForgotten(const EvacuationRecord &record) const;

    std::map<std::string, EvacuationRecord> m_records; ///< By data centre.
    std::vector<std::string> m_evacuated;
    StoreRevision m_revision = 0;
    TimePoint m_eraSince; ///< When the era of `m_revision` became known.
    bool m_isGracePending = false; ///< Whether evacuations of earlier eras have not ended yet.
    std::uint64_t m_changeCount = 0;
};

} // namespace jasminequay
