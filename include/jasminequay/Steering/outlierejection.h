// Ejects targets that answer much worse than the others of their service. Uses no clock, socket or thread.
#pragma once

#include "jasminequay/Steering/slidingcount.h"
#include "jasminequay/Steering/targetfailures.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jasminequay
{

/// Whether a target receives new flows as far as its answers are concerned.
enum class EjectionStage : std::uint8_t {
    Admitted,
    Ejected, ///< It receives no new flows.
    Probation, ///< It receives one opening of a repeatable route at a time until one is answered well.
};

std::string_view ejectionStageName(EjectionStage stage);

/// A target and its service, as OutlierEjection needs them.
struct OutlierCandidate {
    std::uint64_t key = 0;
    std::string_view service;
    std::string_view dataCentre;
    std::size_t serviceTargets = 1; ///< The number of targets of the service.
    std::size_t dataCentreTargets = 1; ///< The number of those in the same data centre.
};

/// A change of the stage of a target, for logs.
struct EjectionEvent {
    std::uint64_t targetKey = 0;
    EjectionStage stage = EjectionStage::Admitted; ///< The new stage.
    Duration period{}; ///< How long the ejection lasts.
    std::uint32_t failures = 0; ///< The failures of the last second that are known here.
    std::uint32_t reporters = 0; ///< The number of instances that observed them.
};

/// What has been done since the start.
struct EjectionCounters {
    std::uint64_t failures = 0; ///< Failed or overdue answers observed here.
    std::uint64_t peerFailures = 0; ///< Failures that peers reported.
    std::uint64_t outdatedReports = 0; ///< Reports that arrived too late to count.
    std::uint64_t ejections = 0;
    std::uint64_t readmissions = 0;
};

/// Decides which targets are ejected. It handles single targets that fail in one way or another (errors,
/// hanging, no answers to openings, slow answers, going up and down) among others that work. Failures that
/// many targets of a service have in common (overload, a network partition, packet loss) eject nothing: the
/// failures of a target must exceed a multiple of the mean of the others in its data centre, and nothing is
/// ejected while many of these fail or a large share of the service's answers does. One instance alone
/// observes few answers of each target, so the failures that peers of the data centre report count as well.
class OutlierEjection
{
public:
    /// The maximum share of a service's targets that are ejected or on probation.
    static constexpr double MaximumEjectedShare = 0.4;

    /// Records that a request that was sent at `requestedAt` was answered well and in time.
    void recordSuccess(const OutlierCandidate &target, TimePoint requestedAt, TimePoint now);

    /// Records that a request or an opening that was sent at `requestedAt` failed or is overdue.
    void recordFailure(const OutlierCandidate &target, TimePoint requestedAt, TimePoint now);

    /// Records the failures that a peer observed. `reporter` identifies the peer and is not zero.
    void recordReport(const OutlierCandidate &target, std::uint64_t reporter, const TargetFailures &failures,
        TimePoint now);

    /// Records that an opening was sent to a target. On probation it gets no other one until this one is
    /// answered or has failed.
    void recordOpening(std::uint64_t targetKey, TimePoint now);

    /// Returns whether a new flow of a repeatable route should try a target on probation.
    [[nodiscard]] bool isTrial(std::uint64_t targetKey, std::uint64_t flowHash, TimePoint now) const;

    [[nodiscard]] EjectionStage stage(std::uint64_t targetKey, TimePoint now) const;

    /// Returns whether a service as a whole fails, so that its failures say nothing about single targets.
    [[nodiscard]] bool isServiceFailing(std::string_view service, TimePoint now) const;

    /// Returns the number of targets of a service that are ejected or on probation.
    [[nodiscard]] std::size_t ejectedCount(std::string_view service, TimePoint now) const;

    /// Returns the names of the services from which answers were seen.
    [[nodiscard]] std::vector<std::string> services() const;

    /// Returns the failures that were observed here and not reported yet, of services that do not fail as a
    /// whole; empty if none may be sent now. `peers` is the number of receivers, which bounds the rate.
    [[nodiscard]] std::vector<TargetFailures> takeReports(std::size_t peers, TimePoint now);

    /// Removes state that no longer matters. To be called periodically.
    void expire(TimePoint now);

    /// Returns the changes of stages since the last call; further ones than a fixed number are left out.
    [[nodiscard]] std::vector<EjectionEvent> takeEvents();

    [[nodiscard]] const EjectionCounters &counters() const
    {
        return m_counters;
    }

private:
    /// Failures that one instance observed at a target.
    struct Observation {
        TimePoint at;
        std::uint64_t reporter = 0; ///< Zero for this instance.
        std::uint32_t count = 0;
    };

    /// What is known of a target that has failed recently.
    struct State {
        std::string service;
        std::string dataCentre;
        std::vector<Observation> observations; ///< Those of the last second.
        bool isEjected = false; ///< Whether it is ejected or on probation.
        TimePoint ejectedAt;
        TimePoint ejectedUntil; ///< When the latest ejection ends; probation begins then.
        Duration period{}; ///< How long the latest ejection lasts.
        TimePoint countedFrom; ///< Earlier failures do not count against the target.
        TimePoint trialAt; ///< When the opening on probation was sent; the epoch if there is none.
        TimePoint changedAt; ///< When a failure was last recorded or the stage changed.
        std::uint32_t unreported = 0; ///< Failures observed here that peers do not know.
        TimePoint unreportedAt; ///< When the latest of them was observed.
    };

    /// The answers of a service.
    struct Service {
        SlidingCount answers; ///< Answers observed here, failed ones included.
        SlidingCount failures; ///< Those that failed.
        bool isFailing = false;
    };

    State &stateOf(const OutlierCandidate &target);
    Service &serviceOf(std::string_view service);
    void updateService(std::string_view name, TimePoint now);
    /// The failures at the other targets of the same service and data centre.
    struct Background {
        std::size_t targets = 0; ///< The number of targets with failures.
        std::uint32_t failures = 0;
    };

    [[nodiscard]] Background backgroundOf(const OutlierCandidate &target, TimePoint now) const;
    void liftRecentEjections(std::string_view service, TimePoint now);
    void addObservation(
        const OutlierCandidate &target, State &state, const Observation &observation, TimePoint now);
    void considerEjection(const OutlierCandidate &target, State &state, TimePoint now);
    [[nodiscard]] bool hasRoomFor(const OutlierCandidate &target, TimePoint now) const;
    void eject(std::uint64_t key, State &state, TimePoint now);
    void readmit(std::uint64_t key, State &state, TimePoint now);
    void addEvent(const EjectionEvent &event);
    [[nodiscard]] bool mayReport(std::size_t peers, TimePoint now);

    std::map<std::uint64_t, State> m_states;
    std::map<std::string, Service, std::less<>> m_services;
    std::vector<EjectionEvent> m_events;
    EjectionCounters m_counters;
    SlidingCount m_reports; ///< The reports that were sent.
    double m_reportTokens = 0; ///< The number of reports that may be sent now.
    TimePoint m_reportTokensAt; ///< When m_reportTokens was updated; the epoch before the first report.
};

} // namespace jasminequay
