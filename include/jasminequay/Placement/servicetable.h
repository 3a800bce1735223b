// One service as the traffic threads see it: immutable, shared, replaced whole when its settings change.
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

/// The number of a service within one process; never reused while the process lives.
using ServiceId = std::uint16_t;

/// The number of a target within one process; never reused while the process lives.
using TargetId = std::uint32_t;

/// A target of a service table.
struct TargetEntry {
    TargetId id = 0;
    TargetSettings settings;
    std::uint64_t hash = 0; ///< Its identity in rendezvous hashing.
    TimePoint coldSince; ///< When a cold target was first seen cold.
    bool isQuarantined = false; ///< Whether an instance may still believe that it belongs to another service.
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
    bool isQuarantined
        = false; ///< Whether an instance may still believe that its address belongs to another service.
    /// The table before the last change, while an instance may still place by it; null once all have
    /// confirmed.
    /// Tables of several unconfirmed changes form a chain.
    std::shared_ptr<const ServiceTable> previous;

    /// Returns the target with this number, or null.
    [[nodiscard]] const TargetEntry *target(TargetId targetId) const;

    /// Returns the first target in the rendezvous order over all targets, whatever their state; null if there
    /// is none.
    [[nodiscard]] const TargetEntry *recoveryTarget(std::uint64_t flowHash) const;

    /// Returns the first target in the rendezvous order over those that take new flows; null if there is
    /// none. It depends on nothing but the settings, so that all instances with the same version agree.
    [[nodiscard]] const TargetEntry *preferredTarget(std::uint64_t flowHash) const;

    /// Tells whether an instance may still place a flow elsewhere by an earlier version.
    [[nodiscard]] bool isHeldBack(std::uint64_t flowHash) const;
};

} // namespace jasminequay
