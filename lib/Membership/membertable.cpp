#include "jasminequay/Membership/membertable.h"

#include <algorithm>
#include <bit>
#include <set>

namespace jasminequay
{

/// An instance that receives no heartbeats assumes that it is isolated and keeps its view for this many
/// leases.
constexpr int IsolationLeases = 3;

/// The number of gossip rounds that complete within a lease with ample margin.
constexpr int RoundsPerLease = 4;

/// After a pause, an instance waits at most this many leases for its peers' replies.
constexpr int ReplyLeases = 1;

/// It waits at most this many leases for settings that peers announce but do not deliver.
constexpr int MaximumFenceLeases = 5;

/// A data centre from which no heartbeat arrives for this long is considered removed. Partitions between
/// regions last minutes.
constexpr Duration PartitionExpiry = std::chrono::hours(1);

static bool isNewer(const DigestEntry &entry, const DigestEntry &known)
{
    if (entry.incarnation != known.incarnation) {
        return entry.incarnation > known.incarnation;
    }
    return entry.heartbeat > known.heartbeat;
}

MemberTable::MemberTable(DigestEntry self, Endpoint peerData, Endpoint peerControl,
    const MembershipTiming &timing, TimePoint now, std::uint64_t seed)
    : m_self(std::move(self))
    , m_selfId(instanceIdOf(m_self.instance))
    , m_peerData(peerData)
    , m_peerControl(peerControl)
    , m_timing(timing)
    , m_random(seed)
    , m_tickedAt(now)
    , m_heardAt(now)
    , m_startedAt(now)
    , m_rejoinedAt(now)
{
}

Member &MemberTable::findOrAddMember(const std::string &name, TimePoint now)
{
    const auto [position, isNew] = m_members.try_emplace(name);
    Member &member = position->second;
    if (isNew) {
        member.name = name;
        member.id = instanceIdOf(name);
        member.advancedAt = now;
    }
    return member;
}

void MemberTable::adoptList(const InstanceList &list, TimePoint now)
{
    if (list.version <= m_listVersion) {
        return;
    }
    m_listVersion = list.version;
    for (auto &[name, member] : m_members) {
        member.isListed = false;
    }
    for (const ListedInstance &listed : list.instances) {
        if (listed.name == m_self.instance) {
            continue;
        }
        Member &member = findOrAddMember(listed.name, now);
        member.peerData = listed.peerData;
        member.peerControl = listed.peerControl;
        member.isListed = true;
        member.isListedLeaving = listed.isLeaving;
    }
    refreshView();
}

void MemberTable::addSeed(const std::string &name, Endpoint peerData, Endpoint peerControl, TimePoint now)
{
    if (name == m_self.instance) {
        return;
    }
    Member &member = findOrAddMember(name, now);
    member.peerData = peerData;
    member.peerControl = peerControl;
}

bool MemberTable::isIsolated(TimePoint now) const
{
    const Duration silence = now - m_heardAt;
    return silence > m_timing.lease / 2 && silence < IsolationLeases * m_timing.lease;
}

/// Returns the silence after which a member is considered dead. Gossip spreads in a number of rounds that
/// grows with the logarithm of the number of members, and so does this time. It is never shorter than the
/// lease, after which a paused member no longer acts.
Duration MemberTable::deadAfter() const
{
    const auto rounds = std::bit_width(m_members.size() + 1);
    return std::max<Duration>(m_timing.lease, m_timing.lease * rounds / RoundsPerLease);
}

void MemberTable::updateHealth(TimePoint now)
{
    // An instance that receives no heartbeats is more likely isolated than the only one alive.
    if (isIsolated(now)) {
        return;
    }
    for (auto &[name, member] : m_members) {
        const Duration silence = now - member.advancedAt;
        const MemberHealth before = member.health;
        if (silence > deadAfter()) {
            member.health = MemberHealth::Dead;
        } else {
            member.health = silence > deadAfter() / 2 ? MemberHealth::Suspect : MemberHealth::Alive;
        }
        m_membershipVersion += member.health == before ? 0 : 1;
        const bool isLoss = member.health == MemberHealth::Dead && before != MemberHealth::Dead
            && member.hasBeenHeard && member.known.phase != MemberPhase::Leaving;
        if (isLoss) {
            m_lastLossAt = now;
        }
    }
    removeExpiredMembers(now);
}

/// Removes members that have been silent for long. While no member of a data centre answers, the data centre
/// may be partitioned off, and its known members are the only way to find it again.
void MemberTable::removeExpiredMembers(TimePoint now)
{
    std::set<std::string> answering{};
    for (const auto &[name, member] : m_members) {
        if (answers(member)) {
            answering.insert(member.known.dataCentre);
        }
    }
    m_membershipVersion += std::erase_if(m_members, [&](const auto &item) {
        const Member &member = item.second;
        const bool mayBePartitioned = m_timing.learnsMembers && !answering.contains(member.known.dataCentre)
            && member.known.phase != MemberPhase::Leaving;
        const Duration expiry = mayBePartitioned ? PartitionExpiry : 4 * deadAfter();
        return member.hasBeenHeard && !member.isListed && now - member.advancedAt > expiry;
    });
}

void MemberTable::detectPause(TimePoint now)
{
    const bool wasPaused = now - m_tickedAt > m_timing.lease;
    m_tickedAt = now;
    if (!wasPaused) {
        return;
    }
    m_isFenced = true;
    m_fencedAt = now;
    m_awaitedReplies.clear();
    // Silence of the other members during the pause of this instance is no evidence against them.
    m_heardAt = now;
    for (auto &[name, member] : m_members) {
        member.advancedAt = now;
        if (member.hasBeenHeard) {
            m_awaitedReplies[name] = false;
        }
    }
    if (m_awaitedReplies.empty()) {
        endFence(now);
    }
}

/// Ends the fence when every peer has replied, or has had a lease to do so, and when the settings are as new
/// as the peers': they may have stopped waiting for an instance that was removed from the list during its
/// pause.
void MemberTable::endFenceIfCurrent(TimePoint now)
{
    if (!m_isFenced) {
        return;
    }
    const Duration waited = now - m_fencedAt;
    const bool haveAllAnswered = std::all_of(
        m_awaitedReplies.begin(), m_awaitedReplies.end(), [](const auto &item) { return item.second; });
    const bool isBehind = m_self.settingsVersion < newestSettings().first;
    const bool isCurrent = (haveAllAnswered || waited > ReplyLeases * m_timing.lease) && !isBehind;
    if (isCurrent || waited > MaximumFenceLeases * m_timing.lease) {
        endFence(now);
    }
}

void MemberTable::endFence(TimePoint now)
{
    m_isFenced = false;
    m_rejoinedAt = now;
    ++m_viewNumber;
}

std::vector<const Member *> MemberTable::heartbeatReceivers() const
{
    std::vector<const Member *> found;
    for (const auto &[name, member] : m_members) {
        // Dead members still get heartbeats at times, so that they are found again after a partition.
        if (member.peerControl.port != 0) {
            found.push_back(&member);
        }
    }
    return found;
}

Digest MemberTable::makeDigest(bool wantsReply)
{
    Digest digest;
    digest.peerData = m_peerData;
    digest.peerControl = m_peerControl;
    digest.wantsReply = wantsReply;
    digest.entries.push_back(m_self);
    std::vector<const Member *> others;
    for (const auto &[name, member] : m_members) {
        if (answers(member)) {
            others.push_back(&member);
        }
    }
    // The newest entries go first: older ones are already known to most receivers.
    std::shuffle(others.begin(), others.end(), m_random);
    std::stable_sort(others.begin(), others.end(),
        [](const Member *left, const Member *right) { return left->advancedAt > right->advancedAt; });
    others.resize(std::min(others.size(), m_timing.entriesPerDigest - 1));
    for (const Member *const member : others) {
        digest.entries.push_back(member->known);
    }
    return digest;
}

std::vector<OutgoingDigest> MemberTable::tick(TimePoint now)
{
    detectPause(now);
    endFenceIfCurrent(now);
    ++m_self.heartbeat;
    updateHealth(now);
    refreshView();

    std::vector<const Member *> receivers = heartbeatReceivers();
    const auto isUrgent = [this](const Member *member) {
        return member->health == MemberHealth::Suspect || m_isFenced;
    };
    std::shuffle(receivers.begin(), receivers.end(), m_random);
    std::stable_partition(receivers.begin(), receivers.end(), isUrgent);
    std::vector<OutgoingDigest> outgoing;
    for (const Member *const member : receivers) {
        if (outgoing.size() >= m_timing.fanout && !isUrgent(member)) {
            break;
        }
        outgoing.push_back({member->name, makeDigest(isUrgent(member) || !member->hasBeenHeard)});
    }
    return outgoing;
}

void MemberTable::mergeEntry(const DigestEntry &entry, bool isFromSender, TimePoint now)
{
    if (entry.instance == m_self.instance) {
        // Peers still know a newer incarnation of this name: announce a higher one, so that they accept this
        // one.
        if (isNewer(entry, m_self)) {
            m_self.incarnation = entry.incarnation + 1;
        }
        return;
    }
    const bool isUnknown = !m_members.contains(entry.instance);
    const bool isReachable = m_timing.learnsMembers && entry.control.port != 0;
    if (isUnknown && !isFromSender && !isReachable) {
        return;
    }
    Member &member = findOrAddMember(entry.instance, now);
    if (isReachable) {
        member.peerControl = entry.control;
    }
    if (member.hasBeenHeard && !isNewer(entry, member.known)) {
        return;
    }
    const bool isRestart = member.hasBeenHeard && entry.incarnation > member.known.incarnation
        && member.known.phase != MemberPhase::Leaving;
    if (isRestart) {
        m_lastLossAt = now;
    }
    const bool isChanged = !member.hasBeenHeard || member.health != MemberHealth::Alive
        || member.known.phase != entry.phase || member.known.dataCentre != entry.dataCentre
        || member.known.isPlatformFailing != entry.isPlatformFailing;
    m_membershipVersion += isChanged ? 1 : 0;
    member.known = entry;
    member.hasBeenHeard = true;
    member.advancedAt = now;
    member.health = MemberHealth::Alive;
    m_heardAt = now;
}

std::vector<OutgoingDigest> MemberTable::onDigest(
    const std::string &sender, const Digest &digest, TimePoint now)
{
    if (digest.entries.empty() || digest.entries.front().instance != sender || sender == m_self.instance) {
        return {};
    }
    bool isFromSender = true;
    for (const DigestEntry &entry : digest.entries) {
        mergeEntry(entry, isFromSender, now);
        isFromSender = false;
    }
    if (const auto found = m_members.find(sender); found != m_members.end()) {
        found->second.peerData = digest.peerData;
        found->second.peerControl = digest.peerControl;
    }
    if (const auto awaited = m_awaitedReplies.find(sender); awaited != m_awaitedReplies.end()) {
        awaited->second = true;
        endFenceIfCurrent(now);
    }
    refreshView();
    if (!digest.wantsReply) {
        return {};
    }
    return {{sender, makeDigest(false)}};
}

std::vector<OutgoingDigest> MemberTable::digestFor(const std::string &name)
{
    ++m_self.heartbeat;
    return {{name, makeDigest(false)}};
}

void MemberTable::setPhase(MemberPhase phase)
{
    m_membershipVersion += m_self.phase == phase ? 0 : 1;
    m_self.phase = phase;
    refreshView();
}

void MemberTable::setSettingsVersion(std::uint64_t version)
{
    m_self.settingsVersion = version;
}

void MemberTable::setPlatformFailing(bool isFailing)
{
    m_membershipVersion += m_self.isPlatformFailing == isFailing ? 0 : 1;
    m_self.isPlatformFailing = isFailing;
}

} // namespace jasminequay
