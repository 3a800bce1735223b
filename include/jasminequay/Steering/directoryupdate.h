// Routes and targets as read from the store or received from a peer.
#pragma once

#include "jasminequay/Steering/evacuationrecord.h"
#include "jasminequay/Steering/route.h"
#include "jasminequay/Steering/targetrecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jasminequay
{

/// The removal of a target's entry.
struct TargetRemoval {
    std::string name;
    std::uint64_t revision = 0; ///< The store revision at which it was removed.
};

/// All routes and targets at one revision of the store, or the changes up to that revision.
struct DirectoryUpdate {
    std::uint64_t revision = 0;
    bool isComplete = false; ///< Whether all targets are listed; the entries of others were removed.
    std::optional<RouteConfiguration> routes;
    std::vector<TargetRecord> targets;
    std::vector<TargetRemoval> removals;
    std::vector<TargetRecord> tombstones; ///< Ended targets that a peer still keeps.
    /// Evacuations that began or ended; in a complete update from the store all that are in force.
    std::vector<EvacuationRecord> evacuations;
};

/// How a read of the store ended.
enum class StoreOutcome : std::uint8_t {
    Answered,
    HistoryLost, ///< The changes since the given revision are gone: everything must be read again.
    TooLarge, ///< The answer is larger than this instance takes.
    Refused, ///< The store rejected the call without executing it.
    Failed, ///< There was no answer, or it could not be parsed.
};

std::string_view storeOutcomeName(StoreOutcome outcome);

/// The answer to a read of the store.
struct StoreAnswer {
    StoreOutcome outcome = StoreOutcome::Failed;
    DirectoryUpdate update;
    std::string reason; ///< The reason for a failure, for logs.
    unsigned calls = 0; ///< The number of calls that the read took.
    bool isStale = false; ///< Whether the data may be seconds old.
    /// The era that the answer names; nothing if there was no answer.
    std::optional<std::uint32_t> era = std::nullopt;
};

} // namespace jasminequay
