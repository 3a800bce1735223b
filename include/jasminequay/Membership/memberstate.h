// The phase that an instance announces, and its health as seen by other instances.
#pragma once

#include <cstdint>
#include <string_view>

namespace jasminequay
{

/// The phase of its life cycle that an instance announces.
enum class MemberPhase : std::uint8_t {
    Joining, ///< Forwards packets, but owns no flows yet.
    Ready,
    Leaving, ///< Forwards packets and answers queries, but no longer owns flows.
};

/// The health of another instance, as this one sees it.
enum class MemberHealth : std::uint8_t {
    Alive,
    Suspect, ///< Silent for half a lease; probed directly, and keeps its flows.
    Dead, ///< Silent for a whole lease.
};

std::string_view memberPhaseName(MemberPhase phase);
std::string_view memberHealthName(MemberHealth health);

} // namespace jasminequay
