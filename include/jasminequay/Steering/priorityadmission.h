// Admits new flows by priority while the targets of one service and data centre are short of capacity. Uses
// no clock, socket or thread.
#pragma once

#include "jasminequay/Steering/answerdelay.h"
#include "jasminequay/Steering/answerrate.h"
#include "jasminequay/Steering/decayingsum.h"
#include "jasminequay/Steering/failingtargets.h"
#include "jasminequay/Support/timepoint.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <unordered_map>

namespace jasminequay
{

/// An opening packet or a request that was sent to a target.
struct SentRequest {
    std::uint64_t flow = 0; ///< The hash of its flow.
    std::uint64_t target = 0; ///< The key of its target.
    std::uint64_t route = 0; ///< A key of its route.
    Duration patience{}; ///< Without an answer for this time it counts as turned away.
    bool isOpening = false;
};

/// An answer, as an instance observes it.
struct ObservedAnswer {
    std::uint64_t flow = 0; ///< The hash of its flow.
    std::uint64_t target = 0; ///< The key of its target.
    std::uint64_t route = 0; ///< A key of its route.
    Duration time{}; ///< Since the request was sent.
    bool isFailed = false; ///< Whether the target turned the request away or failed it.
};

/// Limits the rate of new flows that this instance sends to the targets of a service in one data centre. The
/// load pattern: more requests than the targets can process, so that they turn requests away. The limit is
/// the rate of good answers, adapted so that a short queue stands at the targets. The highest priority gets
/// its demand first, and each lower one what remains; the result is a probability of admission for each
/// priority. The rate of good answers of an instance is its own part of the capacity, so that instances need
/// not know of each other.
class PriorityAdmission
{
public:
    PriorityAdmission();

    /// Records a new flow whose first choice is this data centre, and returns whether it is admitted.
    [[nodiscard]] bool admits(std::uint32_t priority, std::uint64_t flow, TimePoint now);

    /// Returns whether a flow that another data centre has not admitted may be sent here: recent answers show
    /// that the targets are not short of capacity, or there are none and no request waits for one. The
    /// highest priority is also admitted where only lower ones have to give way.
    [[nodiscard]] bool admitsSpilled(std::uint32_t priority, TimePoint now);

    /// Records that an opening packet or a request was sent.
    void recordSent(const SentRequest &request, TimePoint now);

    /// Records that nothing is expected from the target for now: a flow is open and has sent no request yet,
    /// or its caller has abandoned it.
    void recordSettled(std::uint64_t flow, TimePoint now);

    /// Records that a target left an opening packet unanswered.
    void recordUnanswered(std::uint64_t flow, TimePoint now);

    /// Records an answer.
    void recordAnswer(const ObservedAnswer &answer, TimePoint now);

    /// Returns whether the rate of new flows is limited.
    [[nodiscard]] bool isLimited(TimePoint now) const;

    /// Returns the limit in flows per second; infinity if there is none.
    [[nodiscard]] double limit() const
    {
        return m_limit;
    }

    /// Returns the recent share of requests that were turned away or not answered. Targets that fail
    /// everything are left out.
    [[nodiscard]] double turnedAwayShare(TimePoint now) const;

    /// Returns how many times as long as usual good answers take.
    [[nodiscard]] double delayRatio(TimePoint now) const
    {
        return m_delay.ratio(now);
    }

    /// Returns the admission probability of each priority with recent demand.
    [[nodiscard]] std::map<std::uint32_t, double> probabilities(TimePoint now) const;

    /// Takes over the usual answer times known from another data centre of the service.
    void copyUsualTimes(const PriorityAdmission &other)
    {
        m_delay.copyUsualTimes(other.m_delay);
    }

private:
    struct Demand {
        DecayingSum recent;
        DecayingSum longTerm;
        double probability = 1;
    };

    struct PendingAnswer {
        std::uint64_t target = 0;
        std::uint64_t route = 0;
        TimePoint sentAt;
        TimePoint overdueAt; ///< When it counts as turned away, or is forgotten if no answer is awaited.
        bool isNewFlow = false; ///< Whether the flow has had no answer yet.
        bool isAwaited = true;
    };

    void advance(TimePoint now);
    void recordOutcome(std::uint64_t target, bool isGood, TimePoint now);
    void recordOverdue(TimePoint now);
    [[nodiscard]] bool isShortOfCapacity(TimePoint now) const;
    [[nodiscard]] double expectedRatio(TimePoint now) const;
    [[nodiscard]] bool isEarly(TimePoint now) const;
    [[nodiscard]] bool isSurging(TimePoint now) const;
    [[nodiscard]] bool isAboveOthers(std::uint32_t priority) const;
    [[nodiscard]] bool isCalm(TimePoint now) const;
    [[nodiscard]] double demand(TimePoint now) const;
    [[nodiscard]] double capacityFactor(TimePoint now) const;
    [[nodiscard]] double capacity(TimePoint now) const;
    void beginLimit(TimePoint now);
    void adaptLimit(TimePoint now);
    void liftLimit();
    void assignProbabilities(TimePoint now);

    FailingTargets m_targets;
    AnswerDelay m_delay;
    AnswerRate m_good; ///< Good answers.
    AnswerRate m_goodFlows; ///< The first good answers of flows. The limit is one of flows, not of requests.
    DecayingSum m_outcomes; ///< Answers and missing answers that are evidence about the load.
    DecayingSum m_turnedAway; ///< Those of m_outcomes that were not good.
    std::map<std::uint32_t, Demand> m_demands; ///< By priority.
    std::unordered_map<std::uint64_t, PendingAnswer> m_pending; ///< By flow.
    TimePoint m_advancedAt;
    TimePoint m_answeredAt;
    TimePoint m_turnedAwayAt; ///< When a target last turned a request away.
    TimePoint m_limitedAt; ///< When the limit began.
    double m_limit = std::numeric_limits<double>::infinity();
    unsigned m_roomyIntervals = 0; ///< Consecutive intervals in which the limit was above the demand.
};

} // namespace jasminequay
