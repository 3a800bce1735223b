// What instances tell each other: who lives, how current they are, what changed, and which targets are lost.
#pragma once

#include "jasminequay/Membership/digest.h"
#include "jasminequay/Steering/directoryupdate.h"
#include "jasminequay/Steering/targetevidence.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jasminequay
{

/// How current the sender's routes and targets are.
struct KnowledgeStanding {
    bool isLoaded = false; ///< Whether the sender knows any routes and targets.
    std::uint64_t revision = 0;
    std::uint64_t routesVersion = 0;
    Duration age{}; ///< How long ago they were proved to be complete, when the message was sent.
    bool isReading = false; ///< Whether the sender reads the store.
};

/// What changed in the directory since a revision, routes left out: a receiver fetches those.
struct DirectoryChanges {
    std::uint64_t after = 0; ///< Receivers that have at least this revision can apply the changes.
    std::uint64_t revision = 0; ///< What they then have.
    /// Zero, or the revision of a complete read among the changes. What came and went before it is not named,
    /// so that receivers need exactly `after`, or this one or more.
    std::uint64_t completeAt = 0;
    std::vector<TargetRecord> targets;
    std::vector<TargetRemoval> removals;
};

/// A target that the sender takes for lost.
struct LossReport {
    std::uint64_t targetKey = 0;
    TargetVerdict verdict = TargetVerdict::Dead;
};

/// One message between instances.
struct FleetNews {
    std::string sender; ///< The name of the sender: its control address.
    Digest digest; ///< The sender's own entry first.
    KnowledgeStanding standing;
    DirectoryChanges changes;
    std::vector<LossReport> losses;
};

/// What a directory lists, as a few bytes.
struct ListedDigest {
    std::uint64_t count = 0;
    std::uint64_t sum = 0; ///< Of the hashes of the names, modulo 2^64.

    bool operator==(const ListedDigest &) const = default;
};

/// What an instance knows, or what changed there since a revision, for a peer that starts or fell behind.
struct DirectoryImage {
    DirectoryUpdate update;
    std::uint64_t after = 0; ///< The revision since which changes are told; zero where all is.
    Duration age{}; ///< How long ago it was proved to be complete.
    /// What is listed with a revision up to `after`, where not all removals since can be named: a receiver
    /// that lists the same has missed none.
    std::optional<ListedDigest> listed;
    std::uint64_t removalsKnownSince = 0; ///< The revision after which the sender can name each removal.
};

} // namespace jasminequay
