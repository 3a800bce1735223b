// Why a flow ended, as it stands in connection records.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace jasminequay
{

/// The cause for which a connection record was written.
enum class EndCause : std::uint8_t {
    Interim, ///< The flow goes on.
    Finished, ///< Both sides closed it.
    Reset, ///< One side reset it.
    Idle, ///< No packet came for the idle timeout.
    NoAnswer, ///< The target never answered.
    Refused, ///< It was never placed.
    TargetRemoved, ///< The settings no longer hold its target.
    Evicted, ///< The flow table was full.
    Released, ///< This instance forgets a flow that another one owns.
};

std::string_view endCauseName(EndCause cause);
std::optional<EndCause> endCauseNamed(std::string_view name);

} // namespace jasminequay
