// A target and what an instance knows about it.
#pragma once

#include "jasminequay/Steering/openingwatch.h"
#include "jasminequay/Steering/recenttime.h"
#include "jasminequay/Steering/targetevidence.h"
#include "jasminequay/Steering/targetpace.h"
#include "jasminequay/Steering/targetrecord.h"

#include <cstdint>
#include <string_view>

namespace jasminequay
{

/// Whether a known target is published.
enum class TargetPresence : std::uint8_t {
    Listed,
    Lapsed, ///< Its entry is missing, but may return: the store may have lost its connection to the target.
    Gone, ///< It has ended. Kept so that its flows are reset.
};

std::string_view targetPresenceName(TargetPresence presence);

/// Why a target counts as ended.
enum class TargetEnd : std::uint8_t {
    None, ///< It has not ended.
    EntryMissing, ///< Its entry was missing for longer than the grace period.
    LaterStart, ///< Its process has started again under the same id.
    EarlierStart, ///< An entry of an earlier start has stood in the place of its own for too long.
    AnsweredByOther, ///< Another process answered at its address.
    PeerReport, ///< A peer keeps it as ended.
};

std::string_view targetEndName(TargetEnd end);

/// A target and what this instance knows about it.
struct KnownTarget {
    TargetRecord record;
    std::uint64_t key = 0;
    TargetPresence presence = TargetPresence::Listed;
    /// Whether a configuration in force has named its service. Until then its entry may be that of another
    /// program, and says nothing about other targets.
    bool isAssigned = false;
    TargetEnd end = TargetEnd::None;
    /// Whether another target publishes the same address and is taken for the one that has it. It then gets
    /// no new flows but keeps its own: the entry of either may be a late write.
    bool isDisplaced = false;
    TimePoint presenceSince; ///< When the presence last changed.
    TimePoint drainingSince; ///< When it was first seen draining, if it is draining.
    TimePoint warmUpEndsAt; ///< When its slow start ends.
    /// Until when the limit of its service for cold targets applies. Unlike `warmUpEndsAt`, it never becomes
    /// earlier, and does not become later when the same entry is read again.
    TimePoint coldUntil;
    TargetEvidence evidence;
    TargetPace pace;
    RecentTime recentTime;
    OpeningWatch openings;
    std::uint32_t openFlows = 0; ///< The flows at this target in the flow table of this instance.
    std::uint32_t endedFlows = 0; ///< Those whose callers have closed them.
};

/// Returns the slots of a target that count for its load: fewer while it is in its slow start.
double usableSlots(const KnownTarget &target, bool isInSlowStart);

/// Returns whether a flow prefers one of two equally good targets (rendezvous hashing).
bool isPreferredTie(const KnownTarget &left, const KnownTarget &right, std::uint64_t flowHash);

} // namespace jasminequay
