// The messages between instances: membership, how current each directory is, changes and lost targets.
#pragma once

#include "jasminequay/Membership/digest.h"
#include "jasminequay/Steering/directoryupdate.h"
#include "jasminequay/Steering/targetevidence.h"
#include "jasminequay/Steering/targetfailures.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jasminequay
{

/// How current the sender's routes and targets are.
struct DirectoryStatus {
    bool isLoaded = false; ///< Whether the sender has any routes and targets.
    std::uint64_t revision = 0;
    std::uint64_t routesVersion = 0;
    Duration age{}; ///< Time since they were last known to be complete, as of sending.
    bool isReading = false; ///< Whether the sender reads the store.
    /// The store revision up to which no newer routes than `routesVersion` exist. Lower than `revision` while
    /// the sender has the targets of a revision, but not yet its routes; zero while its routes are of an
    /// earlier era than that revision.
    std::uint64_t routesRevision = 0;
    /// The store revision up to which `evacuations` is complete; zero from senders that do not know them.
    std::uint64_t evacuationsRevision = 0;
    std::vector<EvacuationRecord> evacuations; ///< All entries, ended ones included.
    std::uint32_t routesEra = 0; ///< The era in which `routesVersion` was read.

    /// Returns what orders the routes of instances.
    [[nodiscard]] std::pair<std::uint32_t, std::uint64_t> routesOrder() const
    {
        return {routesEra, routesVersion};
    }
};

/// The changes of the directory after a revision, without routes, which receivers fetch separately.
struct DirectoryChanges {
    std::uint64_t after = 0; ///< Receivers that have at least this revision can apply the changes.
    std::uint64_t revision = 0; ///< The revision of a receiver that has applied them.
    /// Zero, or the revision of a complete read among the changes. Targets that were added and removed
    /// between `after` and this revision are not named, so only receivers at exactly `after`, or at this
    /// revision or later, can apply the changes.
    std::uint64_t completeReadRevision = 0;
    std::vector<TargetRecord> targets;
    std::vector<TargetRemoval> removals;
};

/// A target that the sender considers dead or unreachable.
struct TargetLossReport {
    std::uint64_t targetKey = 0;
    TargetVerdict verdict = TargetVerdict::Dead;
};

/// One message between instances.
struct FleetMessage {
    std::string sender; ///< The name of the sender: its control address.
    Digest digest; ///< The sender's own entry first.
    DirectoryStatus status;
    DirectoryChanges changes;
    std::vector<TargetLossReport> targetLosses;
    std::vector<TargetFailures> targetFailures;
};

/// A checksum of the names of the targets that a directory lists.
struct ListingChecksum {
    std::uint64_t count = 0;
    std::uint64_t sum = 0; ///< The sum of the hashes of the names, modulo 2^64.

    bool operator==(const ListingChecksum &) const = default;
};

/// The response to a fetch by a peer that starts or fell behind: the whole directory, or the changes since a
/// revision.
struct FetchResponse {
    DirectoryUpdate update;
    std::uint64_t after = 0; ///< The changes after this revision are included; zero if everything is.
    Duration age{}; ///< Time since the directory was last known to be complete.
    /// The checksum of the targets listed with a revision up to `after`, present if not all removals since
    /// then can be named. A receiver whose own checksum is equal has missed no removal.
    std::optional<ListingChecksum> listingChecksum;
    std::uint64_t removalsKnownSince = 0; ///< The revision after which the sender can name each removal.
    /// The store revision up to which the sender's routes are the newest. They are included if they are newer
    /// than those of the receiver.
    std::uint64_t routesRevision = 0;
    /// The store revision up to which `update.evacuations`, the sender's whole table, is complete; zero from
    /// senders that do not know them.
    std::uint64_t evacuationsRevision = 0;
};

} // namespace jasminequay
