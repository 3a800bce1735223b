// What a run of the load model plays.
#pragma once

#include "jasminequay/Steering/serviceload.h"
#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jasminequay
{

/// One data centre with its callers.
struct ModelDataCentre {
    std::string name;
    unsigned instances = 2;
    unsigned targets = 5;
    double callsPerSecond = 130;
};

/// What may change for a while.
enum class LoadChange : std::uint8_t {
    Surge, ///< Callers make `factor` times as many calls.
    SlowTargets, ///< Targets take `factor` times as long.
    LostTargets, ///< Targets answer nothing; `factor` is their share.
};

std::string_view loadChangeName(LoadChange change);

/// Which request a target turns away when its queue is full.
enum class QueuePolicy : std::uint8_t {
    RefuseNewest,
    DropOldest,
};

std::string_view queuePolicyName(QueuePolicy policy);

/// One change.
struct LoadEvent {
    LoadChange change = LoadChange::Surge;
    std::string dataCentre; ///< Empty for all.
    double factor = 1;
    Duration at{};
    Duration lasting{};
};

/// Callers, targets and what happens to them. Work times are distributed log-normally.
struct LoadPlan {
    std::string name;
    std::vector<ModelDataCentre> dataCentres;
    unsigned slots = 2; ///< Requests that a target runs at a time.
    unsigned queue = 8; ///< Requests that wait at a target; more are turned away, and have not run.
    QueuePolicy queuePolicy = QueuePolicy::RefuseNewest;
    Duration shedDelay
        = std::chrono::milliseconds(110); ///< How long a full target takes to turn a request away.
    Duration work = std::chrono::milliseconds(32);
    double workSpread = 0.5; ///< The standard deviation of the logarithm.
    Duration objective = std::chrono::milliseconds(150);
    Duration deadline = std::chrono::milliseconds(1500);
    unsigned retries = 2;
    Duration retryPause = std::chrono::milliseconds(30);
    double freshShare = 0.3; ///< The share of calls that open a flow though another one is idle.
    Duration callerDelay = std::chrono::milliseconds(1); ///< One way.
    Duration dataCentreDelay = std::chrono::microseconds(900); ///< One way between data centres.
    Duration length = std::chrono::seconds(20);
    Duration measureFrom = std::chrono::seconds(8);
    Duration measureTo = std::chrono::seconds(14);
    std::vector<LoadEvent> events;
    LoadLimits limits;
    std::uint64_t seed = 1;
};

} // namespace jasminequay
