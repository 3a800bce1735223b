// The states that operators give to a target.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace jasminequay
{

/// Whether a target takes new flows: serving does, draining does not, cold takes a share that grows.
enum class TargetState : std::uint8_t { Serving, Draining, Cold };

/// Returns the name of a state.
std::string_view targetStateName(TargetState state);

/// Returns the state with this name, or nothing.
std::optional<TargetState> targetStateNamed(std::string_view name);

} // namespace jasminequay
