// A discrete-event simulation of callers, targets, and instances that run the real steering library.
// Deterministic for a seed; uses no network and no clock.
#pragma once

#include "jasminequay/Model/loadplan.h"
#include "jasminequay/Model/loadresult.h"
#include "jasminequay/Model/modeltarget.h"
#include "jasminequay/Steering/steeringengine.h"

#include <array>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace jasminequay
{

/// Simulates one load plan. Callers keep flows open and reuse them, retransmit opening packets, retry after a
/// refusal, and give up at their deadline. The fabric delivers all packets of a flow to one instance of the
/// caller's data centre.
class LoadModel
{
public:
    explicit LoadModel(LoadPlan plan);

    /// Runs the plan to its end.
    LoadResult run();

private:
    /// What happens in an event. "At" names the party that a packet has reached.
    enum class EventKind : std::uint8_t {
        Call, ///< A caller of a data centre begins a call.
        OpeningAtInstance,
        RequestAtInstance,
        RequestAtTarget,
        WorkFinished,
        AnswerAtCaller,
        Retry,
        Tick
    };

    struct Event {
        TimePoint at;
        std::uint64_t order; ///< Orders events of the same time: first scheduled, first handled.
        EventKind kind;
        std::uint32_t subject; ///< The index of a data centre, a call or an attempt, by `kind`.

        bool operator>(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    struct Call {
        TimePoint startedAt;
        std::uint32_t dataCentre = 0;
        std::uint32_t route = 0;
        unsigned attempts = 0;
        bool isDone = false;
    };

    struct Flow {
        SteeredFlow endpoints;
        std::uint32_t dataCentre = 0; ///< The caller's.
        std::uint32_t route = 0;
        std::uint32_t instance = 0;
        std::uint32_t target = 0;
        SteeringToken token = NoToken;
        std::uint32_t sequence = 0;
        std::uint32_t acknowledged = 0;
        TimePoint idleSince;
    };

    struct Attempt {
        std::uint32_t call = 0;
        std::uint32_t flow = 0;
        std::uint32_t retransmissions = 0;
        bool isShed = false;
    };

    void addInstances(std::uint32_t dataCentre);
    void push(Duration after, EventKind kind, std::uint32_t subject);
    void handle(const Event &event);
    void beginCall(std::uint32_t dataCentre);
    void beginAttempt(std::uint32_t call);
    std::uint32_t takeFlow(std::uint32_t dataCentre, std::uint32_t route, bool isRetry);
    void onOpeningAtInstance(std::uint32_t number);
    void onRequestAtInstance(std::uint32_t number);
    void onRequestAtTarget(std::uint32_t number);
    void startWork(std::uint32_t number);
    void onWorkFinished(std::uint32_t number);
    void onAnswerAtCaller(std::uint32_t number);
    void scheduleRetry(std::uint32_t call);
    void tick();
    void probeTargets(SteeringEngine &engine);
    void reportLost(std::uint64_t key);
    SteeringDecision decide(
        const Flow &flow, bool isOpening, std::uint32_t retransmission, std::uint32_t size);
    [[nodiscard]] bool isMeasured(const Call &call) const;
    [[nodiscard]] double activeFactor(
        LoadChange change, std::uint32_t dataCentre, std::uint32_t route = 0) const;
    [[nodiscard]] bool isAffected(LoadChange change, std::uint32_t target) const;
    [[nodiscard]] bool isLost(std::uint32_t target) const;
    [[nodiscard]] double callRate(std::uint32_t dataCentre, std::uint32_t route) const;
    [[nodiscard]] std::uint32_t drawRoute(std::uint32_t dataCentre);
    void turnAway(std::uint32_t number);
    [[nodiscard]] Duration delayTo(std::uint32_t target, std::uint32_t dataCentre) const;
    [[nodiscard]] double uniformRandom();
    void countCall(const Call &call, std::uint64_t CallCounts::*count);

    LoadPlan m_plan;
    LoadResult m_result;
    std::mt19937_64 m_random;
    TimePoint m_start;
    TimePoint m_now;
    std::uint64_t m_nextOrder = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<TargetRecord> m_records;
    std::vector<std::uint32_t> m_targetDataCentres;
    std::vector<ModelTarget> m_targets;
    std::vector<std::vector<std::unique_ptr<SteeringEngine>>> m_instances; ///< By data centre.
    std::vector<std::vector<std::vector<std::uint32_t>>> m_idleFlows; ///< By data centre and route.
    std::vector<Flow> m_flows;
    std::vector<Call> m_calls;
    std::vector<Attempt> m_attempts;
};

} // namespace jasminequay
