// Limits the new flows to targets that have just started. Uses no clock, socket or thread.
#pragma once

#include "jasminequay/Steering/instanceroster.h"
#include "jasminequay/Steering/route.h"
#include "jasminequay/Steering/targetdirectory.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminequay
{

/// The bound that a cold target's new flows per second must keep: the rate that it bears times `factor`, plus
/// `slack`. Half of it, less one flow, is used even if the target bears less.
struct ColdTargetBound {
    double factor = 1;
    double slack = 0; ///< Flows.
};

/// What the limit did to the openings of one service.
struct ColdTargetCounters {
    std::uint64_t passedOver = 0; ///< Openings whose best target was cold and had no room.
    std::uint64_t refused = 0; ///< Openings that found no other target.
    TimePoint passedOverAt; ///< When an opening was last counted.
};

/// Limits the new flows that this instance sends to cold targets, so that all instances together keep the
/// rate that a cold target bears in any second, without exchanging anything. The room at a target, in whole
/// flows per second, is divided among the instances of its data centre: each gets an equal part, and the
/// first ones of the target's ranking get one of the remaining flows each. Handles cold starts of single
/// targets, of a whole data centre, and network partitions.
class ColdTargetLimit
{
public:
    /// An instance that started less than this ago sends no flows to cold targets, as it may not know the
    /// other instances yet.
    static constexpr Duration JoinTime = std::chrono::seconds(4);

    explicit ColdTargetLimit(std::string dataCentre);

    /// Records the name and the start of this instance. Before, cold targets have no room.
    void start(const std::string &instance, TimePoint now);

    void setBound(ColdTargetBound bound);

    /// Sets the services that limit their cold targets.
    void setSlowStarts(std::map<std::string, SlowStart> slowStarts);

    /// Replaces what is known of the other instances of the data centre.
    void setInstances(const std::vector<RosterEntry> &others, TimePoint now);

    /// Forgets instances and targets that no longer matter.
    void expire(TimePoint now);

    /// Returns whether a service limits the new flows of its cold targets.
    [[nodiscard]] bool isLimited(const std::string &service) const;

    /// Returns how long the targets of a service are cold after they got no flows; zero without a limit.
    [[nodiscard]] Duration warmUpOf(const std::string &service) const;

    /// Returns whether a target is cold and the flows that it gets are limited.
    [[nodiscard]] bool isLimitedNow(const KnownTarget &target, TimePoint now) const;

    /// Returns whether a target may get a flow now.
    [[nodiscard]] bool hasRoom(const KnownTarget &target, TimePoint now);

    /// Returns the keys, in the order of `targets`, of the cold targets of a service that may get no flow
    /// now.
    [[nodiscard]] std::vector<std::uint64_t> withoutRoom(
        const std::string &service, const std::vector<KnownTarget *> &targets, TimePoint now);

    /// Counts a new flow, or another opening packet of one, that is sent to a target.
    void recordFlow(const KnownTarget &target, TimePoint now);

    /// Counts an opening whose best target, one of this service, had no room.
    void recordPassedOver(const std::string &service, TimePoint now);

    /// Counts an opening that is refused because only cold targets without room are left.
    void recordRefused(const std::string &service);

    /// Returns the counters of each service whose openings were counted.
    [[nodiscard]] const std::map<std::string, ColdTargetCounters> &counters() const
    {
        return m_counters;
    }

private:
    /// This instance's part of the room at one target.
    struct Share {
        std::uint64_t version = 0; ///< The version for which it was computed.
        std::size_t flows = 0; ///< The flows that may be sent in any span of `interval`.
        Duration interval{};
        std::deque<TimePoint> sentAt; ///< The flows within the interval.
        TimePoint usedAt;
    };

    [[nodiscard]] const SlowStart *limitOf(const std::string &service) const;
    [[nodiscard]] double roomAt(const SlowStart &slowStart) const;
    Share &shareOf(const KnownTarget &target, TimePoint now);
    void computeShare(Share &share, std::uint64_t targetKey, double room) const;
    [[nodiscard]] std::uint64_t version() const
    {
        return m_roster.version() + m_settingsVersion;
    }

    std::string m_dataCentre;
    InstanceRoster m_roster;
    ColdTargetBound m_bound;
    std::map<std::string, SlowStart> m_slowStarts;
    std::unordered_map<std::uint64_t, Share> m_shares;
    std::map<std::string, ColdTargetCounters> m_counters;
    std::uint64_t m_settingsVersion = 0; ///< Increases when the bound or the limits change.
    TimePoint m_startedAt;
};

} // namespace jasminequay
