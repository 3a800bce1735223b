// What an instance says of itself, and what others believe of it.
#pragma once

#include <cstdint>
#include <string_view>

namespace jasminequay
{

/// The phase of its life that an instance announces.
enum class MemberPhase : std::uint8_t {
    Joining, ///< Forwards, but owns nothing yet.
    Ready,
    Leaving, ///< Forwards and answers queries, but owns nothing any more.
};

/// What this instance believes of another one.
enum class MemberHealth : std::uint8_t {
    Alive,
    Suspect, ///< Silent for half a lease; probed directly, and keeps what it owns.
    Dead, ///< Silent for a whole lease.
};

std::string_view memberPhaseName(MemberPhase phase);
std::string_view memberHealthName(MemberHealth health);

} // namespace jasminequay
