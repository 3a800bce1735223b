// What the store, or a peer, tells of routes and targets.
#pragma once

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
    std::uint64_t revision = 0; ///< The change that removed it.
};

/// Routes and targets as they were at one revision, or what changed up to it.
struct DirectoryUpdate {
    std::uint64_t revision = 0;
    bool isComplete = false; ///< Whether all targets are listed, so that others have lost their entries.
    std::optional<RouteConfiguration> routes;
    std::vector<TargetRecord> targets;
    std::vector<TargetRemoval> removals;
    std::vector<TargetRecord> tombstones; ///< Ended targets that a peer remembers.
};

/// How a read of the store ended.
enum class StoreOutcome : std::uint8_t {
    Answered,
    HistoryLost, ///< The changes since the given revision are gone: everything must be read anew.
    Refused, ///< The store turned the call away, and did nothing.
    Failed, ///< No answer, or not one that could be read.
};

std::string_view storeOutcomeName(StoreOutcome outcome);

/// The answer to a read of the store.
struct StoreAnswer {
    StoreOutcome outcome = StoreOutcome::Failed;
    DirectoryUpdate update;
    std::string reason; ///< What went wrong, for logs.
    unsigned calls = 0; ///< The calls that it took.
    bool isStale = false; ///< Whether it may be seconds old.
};

} // namespace jasminequay
