// Estimates when a new request would be answered by each target. Uses no clock, socket or thread.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Steering/recenttime.h"
#include "jasminequay/Steering/targetdirectory.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jasminequay
{

/// The usual answer time of a route, learned over thousands of answers.
class UsualTime
{
public:
    void record(Duration time);

    /// Returns the usual time in seconds; zero before the first answer.
    [[nodiscard]] double seconds() const;

private:
    double m_meanLogarithm = 0;
    std::uint32_t m_count = 0;
};

/// The time that the network takes to and from the targets of a data centre: a low quantile of the times
/// until openings are answered, so that answers that are processed late do not count.
class NetworkDelay
{
public:
    void record(Duration time);

    [[nodiscard]] bool isKnown() const
    {
        return m_isKnown;
    }

    /// Returns the delay in seconds; zero if it is not known.
    [[nodiscard]] double seconds() const
    {
        return m_seconds;
    }

private:
    bool m_isKnown = false;
    double m_seconds = 0;
};

/// The share of new flows that leave their data centre. It follows the expected times in small steps: if all
/// flows went to the better data centre, they would only move the queue there, and back.
class SpillShare
{
public:
    /// Adapts the share, at most once in an interval. The times are the expected ones of the own data centre
    /// and of the best other one.
    void update(double localTime, double remoteTime, TimePoint now);

    [[nodiscard]] double value() const
    {
        return m_share;
    }

private:
    double m_share = 0;
    TimePoint m_updatedAt;
};

/// The parameters of a choice by expected time.
struct ExpectedTimeRequest {
    Endpoint route; ///< The address of the route of the flow.
    std::string_view dataCentre; ///< The data centre of this instance.
    std::uint64_t flowHash = 0; ///< Breaks ties.
    std::size_t allInstances = 1; ///< The number of instances that share the targets of other data centres.
};

/// Measures answer times and network delays, and chooses targets by them. The expected time of a target is
/// the wait for the requests in flight there, its recent answer time and the network delay to its data
/// centre. Handles the load patterns in which the targets of a data centre become slower (surge in one data
/// centre, lost capacity) or single targets do, and leaves work in its own data centre otherwise.
class ExpectedTimes
{
public:
    /// Records that a target has answered a request of a route in `time`, or has not answered it for `time`.
    void recordAnswer(Endpoint route, KnownTarget &target, Duration time, TimePoint now);

    /// Records that a request has had no answer for `time`.
    void recordOverdue(Endpoint route, KnownTarget &target, Duration time, TimePoint now);

    /// Records an error or a refusal, which takes little time but shows that requests are not served.
    void recordFailure(KnownTarget &target, TimePoint now);

    /// Records how long an opening took to be answered by a data centre.
    void recordOpening(const std::string &dataCentre, Duration time);

    /// Returns the target with the lowest expected time among equally preferred ones; null if there are none.
    [[nodiscard]] KnownTarget *choose(
        const std::vector<KnownTarget *> &targets, const ExpectedTimeRequest &request, TimePoint now);

    /// Returns the additional time in seconds for requests to another data centre than `own`.
    [[nodiscard]] double networkDelay(std::string_view own, std::string_view dataCentre) const;

private:
    /// The best target of a data centre, and the state of the data centre.
    struct Candidate {
        KnownTarget *target = nullptr;
        double time = 0; ///< The expected time at the target, relative to the usual time.
        double recentTime = 1; ///< The recent time of the data centre, relative to the usual time.
        double inFlight = 0; ///< The requests of this instance at all its targets.
        double slots = 0;
    };
    using Candidates = std::map<std::string_view, Candidate>;

    [[nodiscard]] double dataCentreTime(const KnownTarget &target, TimePoint now) const;
    void record(double relativeTime, KnownTarget &target, TimePoint now);
    [[nodiscard]] Candidates bestByDataCentre(
        const std::vector<KnownTarget *> &targets, const ExpectedTimeRequest &request, TimePoint now) const;
    [[nodiscard]] double expectedTime(
        std::string_view dataCentre, const Candidate &candidate, const ExpectedTimeRequest &request) const;
    [[nodiscard]] double remoteWait(const Candidate &candidate, const ExpectedTimeRequest &request) const;

    std::map<Endpoint, UsualTime> m_usualTimes; ///< By the address of the route.
    /// By service and data centre.
    std::map<std::pair<std::string, std::string>, RecentTime, std::less<>> m_recentTimes;
    std::map<std::string, NetworkDelay, std::less<>> m_delays; ///< By data centre.
    std::map<std::string, SpillShare, std::less<>> m_spillShares; ///< By service.
};

} // namespace jasminequay
