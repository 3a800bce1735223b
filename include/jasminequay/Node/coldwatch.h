// Keeps the limit of cold targets informed of the fleet, and logs when it begins and ceases to matter.
#pragma once

#include "jasminequay/Membership/membertable.h"
#include "jasminequay/Steering/steeringengine.h"

#include <map>
#include <string>

namespace jasminequay
{

/// Connects the membership with the engine's ColdTargetLimit. Not thread-safe.
class ColdWatch
{
public:
    /// A limit has ceased to matter when no opening passed over a target for this long.
    static constexpr Duration QuietTime = std::chrono::seconds(5);

    /// Passes on changes of the membership, and logs the services whose limit began or ceased to matter since
    /// the last call.
    void tick(SteeringEngine &engine, const MemberTable &members, TimePoint now);

private:
    static constexpr Duration ExpiryInterval = std::chrono::seconds(1);

    void passOnInstances(SteeringEngine &engine, const MemberTable &members, TimePoint now);
    void logTransitions(const ColdTargetLimit &limit, TimePoint now);

    std::uint64_t m_membershipVersion = 0; ///< The last one that was passed on.
    TimePoint m_expiredAt;
    std::map<std::string, ColdTargetCounters> m_active; ///< The counters when the limit began to matter.
};

} // namespace jasminequay
