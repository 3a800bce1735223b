// Tracks which instances have confirmed a settings version, which decides when the changes that wait for it
// may be released.
#pragma once

#include "jasminequay/Membership/membertable.h"

#include <cstdint>
#include <map>
#include <string>

namespace jasminequay
{

/// A member's statement that a version is in force there and that it has sent all bindings it had to share.
struct Confirmation {
    std::uint64_t version = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t sharedBindings = 0; ///< How many bindings it sent to this instance because of the version.
};

/// Collects confirmations. Every member that may still act on the old version must confirm, whatever its
/// health: it counts until the platform no longer lists it and its lease has expired.
class Confirmations
{
public:
    /// Records the confirmation of a member. `received` is the number of bindings received from it for the
    /// version. Returns false if some are missing, in which case the member has to send them again.
    bool confirm(const std::string &instance, const Confirmation &confirmation, std::uint64_t received);

    /// Tells whether the changes that wait for `version` may be released. `retention` is how long a flow may
    /// live that was known only to a lost instance.
    [[nodiscard]] bool isSettled(const MemberTable &members, std::uint64_t version, Duration lease,
        Duration retention, TimePoint now) const;

    /// Returns how many members have confirmed a version, for operators.
    [[nodiscard]] std::size_t confirmedBy(const MemberTable &members, std::uint64_t version) const;

    /// Tells whether a member has confirmed a version.
    [[nodiscard]] bool hasConfirmed(const Member &member, std::uint64_t version) const;

private:
    std::map<std::string, Confirmation> m_confirmations;
};

} // namespace jasminequay
