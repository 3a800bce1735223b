#include "jasminequay/Membership/membertable.h"

#include <algorithm>
#include <bit>
#include <set>

namespace jasminequay
{

/// An instance that hears nobody doubts itself first and keeps its view for this many leases.
constexpr int IsolationLeases = 3;

/// The rounds of gossip that fit into a lease with ease.
constexpr int RoundsPerLease = 4;

/// An instance that woke from a pause waits at most this many leases for its peers' answers.
constexpr int FenceLeases = 1;

/// It waits at most this many leases for settings that peers have and do not hand over.
constexpr int FenceLeasesAtMost = 5;

/// A data centre that nobody hears of for this long is taken to be no more: regions lose each other for
/// minutes.
constexpr Duration LongestCut = std::chrono::hours(1);

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

Member &MemberTable::memberNamed(const std::string &name, TimePoint now)
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
        Member &member = memberNamed(listed.name, now);
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
    Member &member = memberNamed(name, now);
    member.peerData = peerData;
    member.peerControl = peerControl;
}

bool MemberTable::isIsolated(TimePoint now) const
{
    const Duration silence = now - m_heardAt;
    return silence > m_timing.lease / 2 && silence < IsolationLeases * m_timing.lease;
}

/// Heartbeats take a number of rounds that grows with the logarithm of the members, and so does the patience
/// with silence. It is never shorter than the lease, after which a paused member no longer acts.
Duration MemberTable::deathAfter() const
{
    const auto rounds = std::bit_width(m_members.size() + 1);
    return std::max<Duration>(m_timing.lease, m_timing.lease * rounds / RoundsPerLease);
}

void MemberTable::ageMembers(TimePoint now)
{
    // Whoever hears nobody is more likely cut off than the last one alive.
    if (isIsolated(now)) {
        return;
    }
    for (auto &[name, member] : m_members) {
        const Duration silence = now - member.advancedAt;
        const MemberHealth before = member.health;
        if (silence > deathAfter()) {
            member.health = MemberHealth::Dead;
        } else {
            member.health = silence > deathAfter() / 2 ? MemberHealth::Suspect : MemberHealth::Alive;
        }
        m_rosterNumber += member.health == before ? 0 : 1;
        const bool isLoss = member.health == MemberHealth::Dead && before != MemberHealth::Dead
            && member.hasBeenHeard && member.known.phase != MemberPhase::Leaving;
        if (isLoss) {
            m_lastLossAt = now;
        }
    }
    forgetMembers(now);
}

/// Forgets members that have been silent for long. While nobody of a data centre answers it may be cut off,
/// and its members are the only way to find it again.
void MemberTable::forgetMembers(TimePoint now)
{
    std::set<std::string> answering{};
    for (const auto &[name, member] : m_members) {
        if (answers(member)) {
            answering.insert(member.known.dataCentre);
        }
    }
    m_rosterNumber += std::erase_if(m_members, [&](const auto &item) {
        const Member &member = item.second;
        const bool mayBeCutOff = m_timing.learnsMembers && !answering.contains(member.known.dataCentre)
            && member.known.phase != MemberPhase::Leaving;
        const Duration oblivion = mayBeCutOff ? LongestCut : 4 * deathAfter();
        return member.hasBeenHeard && !member.isListed && now - member.advancedAt > oblivion;
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
    // The silence of the others while this instance slept says nothing about them.
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

/// The fence ends when every peer has answered, or has had a lease to do so, and when the settings are as new
/// as theirs: the others may have stopped waiting for an instance that was unlisted while it slept.
void MemberTable::endFenceIfInformed(TimePoint now)
{
    if (!m_isFenced) {
        return;
    }
    const Duration waited = now - m_fencedAt;
    const bool haveAllAnswered = std::all_of(
        m_awaitedReplies.begin(), m_awaitedReplies.end(), [](const auto &item) { return item.second; });
    const bool isBehind = m_self.settingsVersion < newestSettings().first;
    const bool isInformed = (haveAllAnswered || waited > FenceLeases * m_timing.lease) && !isBehind;
    if (isInformed || waited > FenceLeasesAtMost * m_timing.lease) {
        endFence(now);
    }
}

void MemberTable::endFence(TimePoint now)
{
    m_isFenced = false;
    m_rejoinedAt = now;
    ++m_viewNumber;
}

std::vector<const Member *> MemberTable::contacts() const
{
    std::vector<const Member *> found;
    for (const auto &[name, member] : m_members) {
        // A dead member is still told now and then, so that it is found again after a cut.
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
    // What is freshest spreads first: stale entries tell most receivers nothing new.
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
    endFenceIfInformed(now);
    ++m_self.heartbeat;
    ageMembers(now);
    refreshView();

    std::vector<const Member *> receivers = contacts();
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

void MemberTable::noteEntry(const DigestEntry &entry, bool isFirstHand, TimePoint now)
{
    if (entry.instance == m_self.instance) {
        // Another incarnation of this name is still remembered: outlive it.
        if (isNewer(entry, m_self)) {
            m_self.incarnation = entry.incarnation + 1;
        }
        return;
    }
    const bool isUnknown = !m_members.contains(entry.instance);
    const bool isReachable = m_timing.learnsMembers && entry.control.port != 0;
    if (isUnknown && !isFirstHand && !isReachable) {
        return;
    }
    Member &member = memberNamed(entry.instance, now);
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
    m_rosterNumber += isChanged ? 1 : 0;
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
    bool isFirstHand = true;
    for (const DigestEntry &entry : digest.entries) {
        noteEntry(entry, isFirstHand, now);
        isFirstHand = false;
    }
    if (const auto found = m_members.find(sender); found != m_members.end()) {
        found->second.peerData = digest.peerData;
        found->second.peerControl = digest.peerControl;
    }
    if (const auto awaited = m_awaitedReplies.find(sender); awaited != m_awaitedReplies.end()) {
        awaited->second = true;
        endFenceIfInformed(now);
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

void MemberTable::forget(const std::string &name)
{
    m_rosterNumber += m_members.erase(name);
    m_awaitedReplies.erase(name);
    refreshView();
}

void MemberTable::setPhase(MemberPhase phase)
{
    m_rosterNumber += m_self.phase == phase ? 0 : 1;
    m_self.phase = phase;
    refreshView();
}

void MemberTable::setSettingsVersion(std::uint64_t version)
{
    m_self.settingsVersion = version;
}

void MemberTable::setPlatformFailing(bool isFailing)
{
    m_rosterNumber += m_self.isPlatformFailing == isFailing ? 0 : 1;
    m_self.isPlatformFailing = isFailing;
}

} // namespace jasminequay
