// What was published and done to whom, and whether what callers and targets see keeps the promises.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jasminequay::soak
{

/// The bounds that the instances are held to; the users' site files give the same.
struct Bounds {
    Duration stable = std::chrono::milliseconds(4000); ///< Undisturbed for so long, an instance is in touch.
    Duration converge = std::chrono::milliseconds(3000); ///< A change is in force.
    Duration downgrade
        = std::chrono::milliseconds(250); ///< After an effect of a version, no older one shows.
    Duration drain = std::chrono::milliseconds(3000); ///< A leaving target gets nothing new.
    Duration answer = std::chrono::milliseconds(1000); ///< A ready instance has handled a packet.
};

/// A published route. Its address is used once.
struct PublishedRoute {
    std::string service;
    bool mayRepeat = true;
    std::uint64_t addedVersion = 0;
    TimePoint addedAt;
    std::uint64_t droppedVersion = 0; ///< 0 while it is published.
    TimePoint droppedAt;
};

/// A target as it is and as it is published.
struct TargetState {
    std::string service;
    bool isAlive = true;
    TimePoint disturbedUntil; ///< Ends of what was done to it or its links.
    TimePoint drainingAt; ///< When the store took that it leaves; the start of time if it does not.
    std::string dataCentre = {};
};

/// An evacuation of a data centre.
struct PublishedEvacuation {
    TimePoint begunAt; ///< When the store took it.
    TimePoint endedAt; ///< When it was lifted; the start of time while it is in force.
};

/// What was done to an instance, and what it has shown.
struct InstanceState {
    TimePoint disturbedUntil;
    TimePoint harmedUntil; ///< Until when it could not handle packets: stopped, paused, or its link harmed.
    TimePoint readySince; ///< When its present process first said that it is ready; the start of time before.
    std::uint64_t shownVersion = 0; ///< The newest version of which a target saw an effect.
    TimePoint shownAt;
};

/// An opening packet on its way.
struct Opening {
    Endpoint route;
    TimePoint sentAt;
    std::size_t instance = 0;
};

/// A promise that was broken.
struct Breach {
    TimePoint at;
    std::string rule;
    std::string what;
};

/// Judges by what the stand-ins saw on their sockets only.
class Promises
{
public:
    Promises(std::size_t instances, Bounds bounds);

    std::map<Endpoint, PublishedRoute> routes;
    std::vector<InstanceState> instances;
    std::map<std::string, PublishedEvacuation> evacuations; ///< By data centre.
    TimePoint coreDisturbedUntil; ///< Of the store.
    std::map<std::string, TimePoint> targetsDisturbedUntil; ///< By service.

    /// Notes that something is done to an instance until a moment.
    void disturb(std::size_t instance, TimePoint until);

    /// Notes that an instance cannot handle packets until a moment.
    void harm(std::size_t instance, TimePoint until);

    /// Notes that something is done to everybody, the stand-ins included.
    void disturbAll(TimePoint until);

    /// A target took an opening packet.
    void onOpening(const TargetState &target, const Opening &opening, TimePoint now);

    /// An instance refused an opening packet.
    void onRefused(const Opening &opening, TimePoint now);

    /// A caller got a reset of an open flow that the flow's target did not send; `instance` sent it, or led
    /// the packet to whoever did.
    void onForeignReset(const TargetState &target, Endpoint route, std::size_t instance, TimePoint now);

    /// A target began to work on a request.
    void onRun(Endpoint route, std::uint64_t request, TimePoint now);

    /// An opening packet that a ready instance got was neither sent on nor refused in time.
    void onUnhandled(const Opening &opening, TimePoint now);

    /// Something else that must not happen.
    void breach(TimePoint now, const std::string &rule, const std::string &what);

    /// Returns whether an evacuation may leave a service without a target.
    [[nodiscard]] bool isAnyEvacuated(TimePoint now) const;

    [[nodiscard]] bool isInTouch(std::size_t instance, TimePoint at) const;
    [[nodiscard]] const std::vector<Breach> &breaches() const
    {
        return m_breaches;
    }

private:
    Bounds m_bounds;
    std::set<std::uint64_t> m_runs; ///< Of requests that may run only once.
    std::vector<Breach> m_breaches;
};

} // namespace jasminequay::soak
