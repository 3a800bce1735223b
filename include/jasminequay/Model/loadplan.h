// The input of one run of the load model.
#pragma once

#include "jasminequay/Steering/serviceload.h"
#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminequay
{

/// One data centre with its instances, targets and callers.
struct ModelDataCentre {
    std::string name;
    unsigned instances = 2;
    unsigned targets = 5;
    double callsPerSecond = 130;
};

/// A temporary change of load or targets.
enum class LoadChange : std::uint8_t {
    Surge, ///< The call rate is multiplied by `factor`.
    SlowTargets, ///< The work time of requests is multiplied by `factor`.
    LostTargets, ///< A share of `factor` of the targets does not answer.
    FailingTargets, ///< A share of `factor` of the targets rejects all requests.
};

std::string_view loadChangeName(LoadChange change);

/// Which request a target rejects when its queue is full.
enum class QueuePolicy : std::uint8_t {
    RefuseNewest,
    DropOldest,
};

/// How a target turns away a request that finds its queue full.
enum class TurnAway : std::uint8_t {
    Refuse, ///< With a short answer.
    LeaveUnanswered, ///< Opening packets get no answer.
    Reset, ///< The flow is reset; a non-idempotent request is then lost.
};

/// The requests of one route.
struct ModelRoute {
    double callShare = 1; ///< Of the calls of each data centre.
    std::uint32_t priority = 0;
    bool isIdempotent = true;
    Duration work = std::chrono::milliseconds(32); ///< The mean work time of a request.
};

std::string_view queuePolicyName(QueuePolicy policy);

/// A load change with its place and time.
struct LoadEvent {
    LoadChange change = LoadChange::Surge;
    std::string dataCentre; ///< Empty for all.
    double factor = 1;
    Duration at{}; ///< Since the start of the run.
    Duration lasting{};
    std::optional<std::uint32_t> route
        = std::nullopt; ///< The index of the route whose calls a surge multiplies; all if empty.
};

/// The callers, the targets and the changes during a run. Work times have a log-normal distribution.
struct LoadPlan {
    std::string name;
    std::vector<ModelDataCentre> dataCentres;
    unsigned slots = 2; ///< Requests that a target runs concurrently.
    unsigned queue = 8; ///< Requests that wait at a target; further ones are rejected without being run.
    QueuePolicy queuePolicy = QueuePolicy::RefuseNewest;
    Duration shedDelay
        = std::chrono::milliseconds(110); ///< How long a full target takes to reject a request.
    TurnAway turnAway = TurnAway::Refuse;
    Duration work = std::chrono::milliseconds(32); ///< The mean work time of a request without `routes`.
    std::vector<ModelRoute> routes; ///< If empty, there is one idempotent route.
    double workSpread = 0.5; ///< The standard deviation of the logarithm of the work time.
    Duration objective = std::chrono::milliseconds(150); ///< The latency objective of a call.
    Duration deadline
        = std::chrono::milliseconds(1500); ///< When a caller gives up, since the start of the call.
    unsigned retries = 2; ///< Attempts of a call beyond the first.
    Duration retryPause = std::chrono::milliseconds(30);
    double newFlowShare = 0.3; ///< The share of calls that open a new flow although an idle one exists.
    Duration callerDelay
        = std::chrono::milliseconds(1); ///< One-way delay between a caller and its instances and targets.
    Duration dataCentreDelay
        = std::chrono::microseconds(900); ///< Additional one-way delay between data centres.
    Duration length = std::chrono::seconds(20);
    Duration measureFrom
        = std::chrono::seconds(8); ///< Calls that begin from here to `measureTo` are measured.
    Duration measureTo = std::chrono::seconds(14);
    std::vector<LoadEvent> events;
    LoadLimits limits;
    bool admitsByPriority = false;
    std::uint64_t seed = 1;
};

} // namespace jasminequay
