// Membership and failure detection, from the platform's list and from heartbeats. Uses no clock or socket:
// the caller passes the time in and sends the heartbeats.
#pragma once

#include "jasminequay/Membership/digest.h"
#include "jasminequay/Membership/instancelist.h"
#include "jasminequay/Placement/instanceid.h"
#include "jasminequay/Support/timepoint.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace jasminequay
{

/// The parameters of failure detection.
struct MembershipTiming {
    Duration heartbeatInterval = std::chrono::milliseconds(250);
    Duration lease = std::chrono::seconds(2); ///< How long a silent member keeps its flows.
    std::size_t fanout = 3; ///< The number of receivers of each heartbeat.
    std::size_t entriesPerDigest = 16; ///< Bounds a heartbeat's size in data centres of any size.
    /// Whether members are learnt from heartbeats of others, where the platform provides no list.
    bool learnsMembers = false;
};

/// One other member.
struct Member {
    std::string name;
    InstanceId id;
    Endpoint peerData;
    Endpoint peerControl;
    DigestEntry known; ///< The newest entry received for it.
    TimePoint advancedAt; ///< When its heartbeat counter last increased.
    bool isListed = false;
    bool isListedLeaving = false;
    bool hasBeenHeard = false;
    MemberHealth health = MemberHealth::Alive;
};

/// A heartbeat with its receiver.
struct OutgoingDigest {
    std::string to;
    Digest digest;
};

/// The membership as one instance sees it. Failure detection is gossip-style: van Renesse, Minsky and Hayden,
/// "A Gossip-Style Failure Detection Service", 1998. An instance that was paused for longer than its lease
/// fences itself until its peers have answered.
class MemberTable
{
public:
    MemberTable(DigestEntry self, Endpoint peerData, Endpoint peerControl, const MembershipTiming &timing,
        TimePoint now, std::uint64_t seed);

    /// Applies the platform's list of this data centre; ignores a list that is not newer than the present
    /// one.
    void adoptList(const InstanceList &list, TimePoint now);

    /// Adds a member from the instance's own settings, so that it can start while the platform is down.
    void addSeed(const std::string &name, Endpoint peerData, Endpoint peerControl, TimePoint now);

    /// Advances the own heartbeat, updates the health of the members and returns the heartbeats to send.
    std::vector<OutgoingDigest> tick(TimePoint now);

    /// Handles a heartbeat from `sender`; returns the reply if one is wanted.
    std::vector<OutgoingDigest> onDigest(const std::string &sender, const Digest &digest, TimePoint now);

    /// Returns an additional heartbeat for one member, outside the regular interval.
    std::vector<OutgoingDigest> digestFor(const std::string &name);

    /// Sets the phase that this instance announces, without checking whether the instance is fenced.
    void setPhase(MemberPhase phase);

    /// Announces the settings version in force.
    void setSettingsVersion(std::uint64_t version);

    /// Announces whether the platform can be reached.
    void setPlatformFailing(bool isFailing);

    /// Tells whether this instance must not act on its view of the membership, because it was paused and its
    /// peers have not answered yet.
    [[nodiscard]] bool isFenced() const
    {
        return m_isFenced;
    }

    /// Returns the time until which the traffic threads may use their snapshot.
    [[nodiscard]] TimePoint leaseUntil() const;

    /// Returns the instances that may own flows, this one included.
    [[nodiscard]] std::vector<InstanceId> eligible() const;

    /// Returns the other instances that answer queries, including joining and leaving ones.
    [[nodiscard]] std::vector<InstanceId> reachable() const;

    /// Tells whether some listed member that does not answer may know flows from before this instance joined.
    /// `retention` is how long an idle flow is kept.
    [[nodiscard]] bool mayLackHistory(Duration retention, TimePoint now) const;

    /// Returns the instance that reads the platform for the whole data centre.
    [[nodiscard]] InstanceId platformWatcher() const;

    /// Returns a number that increases whenever eligible() or reachable() changes.
    [[nodiscard]] std::uint64_t viewNumber() const
    {
        return m_viewNumber;
    }

    /// Returns when this instance last joined, or rejoined after a pause.
    [[nodiscard]] TimePoint rejoinedAt() const
    {
        return m_rejoinedAt;
    }

    /// Returns when a member last failed without having announced that it leaves; TimePoint::min() if none
    /// has.
    [[nodiscard]] TimePoint lastLossAt() const
    {
        return m_lastLossAt;
    }

    /// Returns a number that increases whenever a member is added or removed, or its health, phase, data
    /// centre or reported reachability of the platform changes.
    [[nodiscard]] std::uint64_t membershipVersion() const
    {
        return m_membershipVersion;
    }

    /// Returns the highest settings version that a live member announces, and a member that has it.
    [[nodiscard]] std::pair<std::uint64_t, std::string> newestSettings() const;

    /// Returns the other members by name.
    [[nodiscard]] const std::map<std::string, Member> &members() const
    {
        return m_members;
    }

    [[nodiscard]] const DigestEntry &self() const
    {
        return m_self;
    }

private:
    Member &findOrAddMember(const std::string &name, TimePoint now);
    void mergeEntry(const DigestEntry &entry, bool isFromSender, TimePoint now);
    void updateHealth(TimePoint now);
    void removeExpiredMembers(TimePoint now);
    void refreshView();
    void detectPause(TimePoint now);
    void endFenceIfCurrent(TimePoint now);
    void endFence(TimePoint now);
    [[nodiscard]] bool isIsolated(TimePoint now) const;
    [[nodiscard]] bool answers(const Member &member) const;
    [[nodiscard]] Duration deadAfter() const;
    [[nodiscard]] std::vector<const Member *> heartbeatReceivers() const;
    Digest makeDigest(bool wantsReply);

    DigestEntry m_self;
    InstanceId m_selfId;
    Endpoint m_peerData;
    Endpoint m_peerControl;
    MembershipTiming m_timing;
    std::map<std::string, Member> m_members;
    std::mt19937_64 m_random;
    std::uint64_t m_listVersion = 0;
    std::uint64_t m_viewNumber = 1;
    std::uint64_t m_membershipVersion = 1;
    std::vector<InstanceId> m_viewEligible;
    std::vector<InstanceId> m_viewReachable;
    TimePoint m_tickedAt;
    TimePoint m_heardAt; ///< When any member's heartbeat counter last increased.
    TimePoint m_startedAt;
    TimePoint m_rejoinedAt;
    TimePoint m_lastLossAt = TimePoint::min();
    bool m_isFenced = false;
    TimePoint m_fencedAt;
    std::map<std::string, bool> m_awaitedReplies;
};

} // namespace jasminequay
