// A discrete-event model of callers, instances with the real decision library, and targets. Seeded; no
// network or clock.
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

/// Plays one plan. Callers keep flows open and use them again, copy their opening packets, try again after a
/// refusal, and give up at their deadline. The fabric hands the packets of a flow to one instance of the
/// caller's data centre.
class LoadModel
{
public:
    explicit LoadModel(LoadPlan plan);

    /// Plays the plan to its end.
    LoadResult run();

private:
    enum class EventKind : std::uint8_t { Call, Open, Send, Arrive, Finish, Answer, Try, Tick };

    struct Event {
        TimePoint at;
        std::uint64_t order; ///< Parts events of the same moment.
        EventKind kind;
        std::uint32_t subject; ///< A data centre or the number of a try.

        bool operator>(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    struct Call {
        TimePoint startedAt;
        std::uint32_t dataCentre = 0;
        unsigned tries = 0;
        bool isDone = false;
    };

    struct Flow {
        SteeredFlow ends;
        std::uint32_t dataCentre = 0; ///< The caller's.
        std::uint32_t instance = 0;
        std::uint32_t target = 0;
        SteeringToken token = NoToken;
        std::uint32_t sequence = 0;
        std::uint32_t acknowledged = 0;
        TimePoint idleSince;
    };

    struct Try {
        std::uint32_t call = 0;
        std::uint32_t flow = 0;
        std::uint32_t copies = 0;
        bool isShed = false;
    };

    void addInstances(std::uint32_t dataCentre);
    void push(Duration after, EventKind kind, std::uint32_t subject);
    void handle(const Event &event);
    void beginCall(std::uint32_t dataCentre);
    void beginTry(std::uint32_t call);
    std::uint32_t takeFlow(std::uint32_t dataCentre, bool isRetry);
    void open(std::uint32_t number);
    void send(std::uint32_t number);
    void arrive(std::uint32_t number);
    void startWork(std::uint32_t number);
    void finish(std::uint32_t number);
    void answer(std::uint32_t number);
    void tryAgain(std::uint32_t call);
    void tick();
    SteeringDecision decide(const Flow &flow, bool isOpening, std::uint32_t copy, std::uint32_t size);
    [[nodiscard]] bool isMeasured(const Call &call) const;
    [[nodiscard]] double factorOf(LoadChange change, std::uint32_t dataCentre) const;
    [[nodiscard]] bool isLost(std::uint32_t target) const;
    [[nodiscard]] Duration wayTo(std::uint32_t target, std::uint32_t dataCentre) const;
    [[nodiscard]] double drawn();
    void note(const Call &call, std::uint64_t CallCounts::*count);

    LoadPlan m_plan;
    LoadResult m_result;
    std::mt19937_64 m_random;
    TimePoint m_start;
    TimePoint m_now;
    std::uint64_t m_order = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<TargetRecord> m_records;
    std::vector<std::uint32_t> m_targetDataCentres;
    std::vector<ModelTarget> m_targets;
    std::vector<std::vector<std::unique_ptr<SteeringEngine>>> m_instances; ///< By data centre.
    std::vector<std::vector<std::uint32_t>> m_idleFlows; ///< By data centre.
    std::vector<Flow> m_flows;
    std::vector<Call> m_calls;
    std::vector<Try> m_tries;
};

} // namespace jasminequay
