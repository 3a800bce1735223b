// The reasons for connection records: why a flow ended or was recorded.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace jasminequay
{

/// The reason why a connection record was written.
enum class EndCause : std::uint8_t {
    Interim, ///< The flow is still open.
    Finished, ///< Both sides closed the flow.
    Reset, ///< One side reset the flow.
    Idle, ///< No packet arrived within the idle timeout.
    NoAnswer, ///< The target never answered.
    Refused, ///< The flow was rejected and never placed at a target.
    TargetRemoved, ///< The settings no longer contain the target.
    Evicted, ///< The flow table was full.
    Released, ///< This instance removed its entry for a flow that another instance owns.
};

std::string_view endCauseName(EndCause cause);
std::optional<EndCause> endCauseNamed(std::string_view name);

} // namespace jasminequay
