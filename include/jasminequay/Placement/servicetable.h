// The table of one service for the traffic threads: immutable, shared, and replaced when its settings change.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Packet/protocol.h"
#include "jasminequay/Placement/targetload.h"
#include "jasminequay/Settings/configuration.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace jasminequay
{

/// The ID of a service within one process; never reused during its lifetime.
using ServiceId = std::uint16_t;

/// The ID of a target within one process; never reused during its lifetime.
using TargetId = std::uint32_t;

/// A target of a service table.
struct TargetEntry {
    TargetId id = 0;
    TargetSettings settings;
    std::uint64_t hash = 0; ///< Its node hash for rendezvous hashing.
    TimePoint coldSince; ///< When a cold target first became cold.
    bool isQuarantined = false; ///< Whether another instance may still assign it to another service.
    std::shared_ptr<TargetLoad> load;
};

/// An immutable table of one service.
struct ServiceTable {
    ServiceId id = 0;
    std::string name;
    Endpoint address;
    Protocol protocol = Protocol::Tcp;
    ServicePolicy policy;
    std::vector<TargetEntry> targets;
    bool isQuarantined = false; ///< Whether another instance may still assign its address to another service.
    /// The table before the last change, while an instance may still place flows by it; null when all
    /// instances have confirmed the change. The tables of several unconfirmed changes form a chain.
    std::shared_ptr<const ServiceTable> previous;

    /// Returns the target with this ID; null if there is none.
    [[nodiscard]] const TargetEntry *target(TargetId targetId) const;

    /// Returns the target to assume for a flow whose binding is unknown: the first in the rendezvous order of
    /// all targets that are not quarantined, in any state. Null if there is none.
    [[nodiscard]] const TargetEntry *recoveryTarget(std::uint64_t flowHash) const;

    /// Returns the first target in the rendezvous order of those that accept new flows; null if there is
    /// none. The result depends only on the settings and the quarantine, not on load, so that instances with
    /// the same version agree.
    [[nodiscard]] const TargetEntry *preferredTarget(std::uint64_t flowHash) const;

    /// Tells whether another instance may still place a flow at a different target by an earlier version.
    [[nodiscard]] bool conflictsWithPrevious(std::uint64_t flowHash) const;
};

} // namespace jasminequay
