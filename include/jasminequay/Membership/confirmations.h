// Which instances have confirmed a settings version, and so when what it held back may be released.
#pragma once

#include "jasminequay/Membership/membertable.h"

#include <cstdint>
#include <map>
#include <string>

namespace jasminequay
{

/// A member's word that a version is in force there and that it has shared what it had to.
struct Confirmation {
    std::uint64_t version = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t sharedBindings = 0; ///< How many bindings it sent to this instance because of the version.
};

/// Collects confirmations. A member that is listed or answers must confirm, dead or not: whoever may still
/// act on the old version counts until the platform no longer lists it and its lease has run out.
class Confirmations
{
public:
    /// Takes the confirmation of a member. `received` is the number of bindings that came from it for the
    /// version. Returns false if some are missing, so that the member has to send them again.
    bool confirm(const std::string &instance, const Confirmation &confirmation, std::uint64_t received);

    /// Tells whether what `version` held back may be released. `retention` is how long a flow may live that
    /// only an instance that is gone knew of.
    [[nodiscard]] bool isSettled(const MemberTable &members, std::uint64_t version, Duration lease,
        Duration retention, TimePoint now) const;

    /// Returns how many of the members have confirmed a version, for operators.
    [[nodiscard]] std::size_t confirmedBy(const MemberTable &members, std::uint64_t version) const;

    /// Tells whether a member has confirmed a version.
    [[nodiscard]] bool hasConfirmed(const Member &member, std::uint64_t version) const;

private:
    std::map<std::string, Confirmation> m_confirmations;
};

} // namespace jasminequay
