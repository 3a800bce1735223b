// Steering tokens: 32 bits that a packet carries back and that name the target of its flow at every instance.
#pragma once

#include <cstdint>

namespace jasminequay
{

/// A token as it stands in a packet.
using SteeringToken = std::uint32_t;

/// The token of a packet whose flow has no target yet.
constexpr SteeringToken NoToken = 0;

/// How many tokens each target has. A placing instance takes another one where two targets share the first.
constexpr unsigned TokensPerTarget = 4;

/// One start of one target. A target that starts again under its old id is another target.
struct TargetIdentity {
    std::uint64_t id = 0;
    std::int64_t startedAt = 0; ///< Milliseconds since 1970; zero where the target does not say it.

    /// Returns the hash from which tokens and placement are derived.
    [[nodiscard]] std::uint64_t key() const;

    bool operator==(const TargetIdentity &) const = default;
};

/// Returns one of the tokens of a target. It depends on the arguments alone, so that all instances agree
/// whatever targets they know and in whatever order they learnt them. Never NoToken.
SteeringToken steeringToken(std::uint64_t targetKey, unsigned number);

} // namespace jasminequay
