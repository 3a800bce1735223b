// Steering tokens: 32-bit values that callers send back in packets and that identify the target of a flow at
// every instance.
#pragma once

#include <cstdint>

namespace jasminequay
{

/// A token as carried in a packet.
using SteeringToken = std::uint32_t;

/// The token of a packet whose flow has no target yet.
constexpr SteeringToken NoToken = 0;

/// The number of tokens of each target. Where two targets share a token, an instance that places a flow uses
/// another one.
constexpr unsigned TokensPerTarget = 4;

/// Identifies one start of a target. A target that restarts under the same id counts as another target.
struct TargetIdentity {
    std::uint64_t id = 0;
    std::int64_t startedAt = 0; ///< Milliseconds since 1970; zero if the target does not publish it.

    /// Returns the hash from which tokens and placement are derived.
    [[nodiscard]] std::uint64_t key() const;

    bool operator==(const TargetIdentity &) const = default;
};

/// Returns one of the tokens of a target, never NoToken. It depends on the arguments alone, so that all
/// instances agree regardless of which targets they know and in which order they learned of them.
SteeringToken steeringToken(std::uint64_t targetKey, unsigned number);

} // namespace jasminequay
