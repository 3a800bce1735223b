#include "jasminequay/Membership/confirmations.h"

namespace jasminequay
{

bool Confirmations::confirm(
    const std::string &instance, const Confirmation &confirmation, std::uint64_t received)
{
    if (received < confirmation.sharedBindings) {
        return false;
    }
    Confirmation &known = m_confirmations[instance];
    const bool isNewer = confirmation.incarnation > known.incarnation
        || (confirmation.incarnation == known.incarnation && confirmation.version > known.version);
    if (isNewer) {
        known = confirmation;
    }
    return true;
}

bool Confirmations::hasConfirmed(const Member &member, std::uint64_t version) const
{
    const auto found = m_confirmations.find(member.name);
    return found != m_confirmations.end() && found->second.version >= version
        && found->second.incarnation >= member.known.incarnation;
}

bool Confirmations::isSettled(const MemberTable &members, std::uint64_t version, Duration lease,
    Duration retention, TimePoint now) const
{
    for (const auto &[name, member] : members.members()) {
        const bool mayActOnOldVersion = member.isListed || now - member.advancedAt <= 2 * lease;
        if (mayActOnOldVersion && !hasConfirmed(member, version)) {
            return false;
        }
    }
    // A lost instance may have placed flows that no other instance knows.
    const bool hadLoss = members.lastLossAt() != TimePoint::min();
    return !hadLoss || now - members.lastLossAt() >= retention;
}

std::size_t Confirmations::confirmedBy(const MemberTable &members, std::uint64_t version) const
{
    std::size_t count = 0;
    for (const auto &[name, member] : members.members()) {
        count += hasConfirmed(member, version) ? 1 : 0;
    }
    return count;
}

} // namespace jasminequay
