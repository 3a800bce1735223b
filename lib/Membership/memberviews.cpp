// The views of the member table that other parts use.
#include "jasminequay/Membership/membertable.h"

#include "jasminequay/Placement/instanceorder.h"

#include <algorithm>

namespace jasminequay
{

/// A member counts as answering if an entry of it has been received and it is not dead.
bool MemberTable::answers(const Member &member) const
{
    return member.hasBeenHeard && member.health != MemberHealth::Dead;
}

TimePoint MemberTable::leaseUntil() const
{
    return m_isFenced ? m_fencedAt : m_tickedAt + m_timing.lease;
}

std::vector<InstanceId> MemberTable::eligible() const
{
    std::vector<InstanceId> instances;
    if (m_self.phase == MemberPhase::Ready) {
        instances.push_back(m_selfId);
    }
    for (const auto &[name, member] : m_members) {
        if (answers(member) && member.known.phase == MemberPhase::Ready && !member.isListedLeaving) {
            instances.push_back(member.id);
        }
    }
    return instances;
}

std::vector<InstanceId> MemberTable::reachable() const
{
    std::vector<InstanceId> instances;
    for (const auto &[name, member] : m_members) {
        if (answers(member)) {
            instances.push_back(member.id);
        }
    }
    return instances;
}

void MemberTable::refreshView()
{
    std::vector<InstanceId> nowEligible = eligible();
    std::vector<InstanceId> nowReachable = reachable();
    if (nowEligible == m_viewEligible && nowReachable == m_viewReachable) {
        return;
    }
    m_viewEligible = std::move(nowEligible);
    m_viewReachable = std::move(nowReachable);
    ++m_viewNumber;
}

bool MemberTable::mayLackHistory(Duration retention, TimePoint now) const
{
    const bool hasJoinedRecently = now - m_startedAt < retention;
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto &item) {
        const Member &member = item.second;
        return member.isListed && (hasJoinedRecently ? !answers(member) : !member.hasBeenHeard);
    });
}

InstanceId MemberTable::platformWatcher() const
{
    std::vector<InstanceId> candidates;
    if (!m_self.isPlatformFailing) {
        candidates.push_back(m_selfId);
    }
    for (const auto &[name, member] : m_members) {
        if (answers(member) && !member.known.isPlatformFailing
            && member.known.phase != MemberPhase::Leaving) {
            candidates.push_back(member.id);
        }
    }
    const std::vector<InstanceId> order = firstInstances("platform-watcher", candidates, 1);
    return order.empty() ? InstanceId{} : order.front();
}

std::pair<std::uint64_t, std::string> MemberTable::newestSettings() const
{
    std::pair<std::uint64_t, std::string> newest;
    for (const auto &[name, member] : m_members) {
        if (answers(member) && member.known.settingsVersion > newest.first) {
            newest = {member.known.settingsVersion, name};
        }
    }
    return newest;
}

} // namespace jasminequay
