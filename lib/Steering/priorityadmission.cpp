#include "jasminequay/Steering/priorityadmission.h"

#include "jasminequay/Support/hash.h"

#include <algorithm>
#include <cmath>

namespace jasminequay
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How often the limit is adapted.
constexpr Duration Interval = milliseconds(50);

constexpr Duration OutcomeTime = milliseconds(500);
constexpr Duration DemandTime = milliseconds(150);
constexpr Duration LongTermTime = seconds(5);

/// The limit expires after this time without answers.
constexpr Duration Expiry = seconds(1);

/// Without requests turned away for this time, late answers become the usual ones.
constexpr Duration SlowTargetTime = seconds(3);

/// Flows without a request are forgotten after this time.
constexpr Duration IdleLifetime = seconds(10);

/// Flows that wait for an answer are remembered up to this number.
constexpr std::size_t MaximumPending = 8192;

/// The shares of requests turned away, of several targets, from which capacity is short: beside late answers,
/// and without them.
constexpr double ShortShare = 0.02;
constexpr double CertainShare = 0.2;
constexpr double MinimumOutcomes = 6;

/// The number of targets that turn requests away, and their share, from which capacity is short. A tenth of
/// the targets may be broken.
constexpr std::size_t MinimumFailingTargets = 3;
constexpr double FailingTargetShare = 0.25;

/// Answers take this many times as long as usual where requests wait. Single intervals reach it by chance.
constexpr double WaitingRatio = 1.6;

/// So many requests in flight that answers will be this late, while the demand is `SurgeDemand` times its
/// long-term average, show that the targets are going to be full.
constexpr double SurgeRatio = 2.5;
constexpr double SurgeDemand = 2;
constexpr double SurgeRequests = 8;

/// The initial limit is at least this share of the demand, as the rate of good answers lags behind a surge.
constexpr double InitialDemandShare = 0.65;

/// The delay ratio that the limit aims at. Below it, slots stay empty; far above it, some targets are full.
constexpr double DesiredRatio = 1.8;
constexpr double RatioGain = 0.4;
constexpr double TurnedAwayGain = 4;
constexpr double TolerableShare = 0.01;
/// Bounds the effect of requests turned away: lost targets may leave many requests unanswered while the
/// others have room.
constexpr double MaximumTurnedAwayEffect = 0.12;
constexpr double MinimumFactor = 0.75;
constexpr double MaximumFactor = 1.25;

/// The bounds of one step of the limit.
constexpr double MinimumStep = 0.9;
constexpr double MaximumStep = 1.05;

/// The limit is lifted when it was this many times the demand in consecutive intervals.
constexpr double LiftFactor = 1.15;
constexpr unsigned LiftIntervals = 4;

/// The share of its demand that the lowest priority keeps while the higher ones leave room.
constexpr double LowestPriorityShare = 0.02;

/// The highest priority is limited only above this share of requests turned away.
constexpr double HighestPriorityShare = 0.05;

/// Keeps the decision about a flow independent of the choice of its target, which uses the same hash.
constexpr std::uint64_t AdmissionSalt = 0x61646d6974;

PriorityAdmission::PriorityAdmission()
    : m_outcomes(OutcomeTime)
    , m_turnedAway(OutcomeTime)
{
}

bool PriorityAdmission::admits(std::uint32_t priority, std::uint64_t flow, TimePoint now)
{
    advance(now);
    Demand &demand
        = m_demands.try_emplace(priority, Demand{DecayingSum(DemandTime), DecayingSum(LongTermTime), 1})
              .first->second;
    demand.recent.add(1, now);
    demand.longTerm.add(1, now);
    if (!isLimited(now)) {
        return true;
    }
    return std::ldexp(static_cast<double>(hashWords(flow, AdmissionSalt)), -64) < demand.probability;
}

bool PriorityAdmission::admitsSpilled(std::uint32_t priority, TimePoint now)
{
    advance(now);
    if (isLimited(now) && isAboveOthers(priority)) {
        return turnedAwayShare(now) <= HighestPriorityShare;
    }
    if (m_delay.answers(now) < 1) {
        return std::none_of(
            m_pending.begin(), m_pending.end(), [](const auto &entry) { return entry.second.isAwaited; });
    }
    return !isLimited(now) && m_delay.ratio(now) < WaitingRatio && turnedAwayShare(now) <= ShortShare;
}

void PriorityAdmission::recordSent(const SentRequest &request, TimePoint now)
{
    if (m_pending.size() < MaximumPending) {
        PendingAnswer &pending = m_pending[request.flow];
        pending = {request.target, request.route, now, now + request.patience,
            request.isOpening || pending.isNewFlow, true};
    }
    advance(now);
}

void PriorityAdmission::recordSettled(std::uint64_t flow, TimePoint now)
{
    const auto pending = m_pending.find(flow);
    if (pending == m_pending.end()) {
        return;
    }
    pending->second.isAwaited = false;
    pending->second.overdueAt = now + IdleLifetime;
}

void PriorityAdmission::recordUnanswered(std::uint64_t flow, TimePoint now)
{
    if (const auto pending = m_pending.find(flow); pending != m_pending.end()) {
        recordOutcome(pending->second.target, false, now);
        m_pending.erase(pending);
    }
}

void PriorityAdmission::recordAnswer(const ObservedAnswer &answer, TimePoint now)
{
    const auto pending = m_pending.find(answer.flow);
    const bool isNewFlow = pending != m_pending.end() && pending->second.isNewFlow;
    m_pending.erase(answer.flow);
    m_answeredAt = now;
    recordOutcome(answer.target, !answer.isFailed, now);
    if (!answer.isFailed) {
        m_good.add(now);
        if (isNewFlow) {
            m_goodFlows.add(now);
        }
        m_delay.recordAnswer(answer.route, answer.time, isCalm(now), now);
    }
    advance(now);
}

void PriorityAdmission::recordOutcome(std::uint64_t target, bool isGood, TimePoint now)
{
    if (!m_targets.recordOutcome(target, isGood, now)) {
        return;
    }
    m_outcomes.add(1, now);
    m_turnedAway.add(isGood ? 0 : 1, now);
    // Single targets that fail now and then do not show that capacity is short.
    if (!isGood && m_targets.spread(now).failing >= MinimumFailingTargets) {
        m_turnedAwayAt = now;
    }
}

void PriorityAdmission::recordOverdue(TimePoint now)
{
    std::erase_if(m_pending, [this, now](const auto &entry) {
        const bool isOverdue = now >= entry.second.overdueAt;
        if (isOverdue && entry.second.isAwaited) {
            recordOutcome(entry.second.target, false, now);
        }
        return isOverdue;
    });
}

/// Returns whether answers take their usual time now. Answers that are late for seconds while nothing is
/// turned away come from slow targets, not from full ones.
bool PriorityAdmission::isCalm(TimePoint now) const
{
    const bool isPrompt = !isLimited(now) && m_delay.ratio(now) < WaitingRatio;
    return isPrompt || now - std::max(m_turnedAwayAt, m_limitedAt) > SlowTargetTime;
}

bool PriorityAdmission::isLimited(TimePoint now) const
{
    return !std::isinf(m_limit) && now - m_answeredAt <= Expiry;
}

double PriorityAdmission::turnedAwayShare(TimePoint now) const
{
    const double outcomes = m_outcomes.value(now);
    return outcomes > 0 ? m_turnedAway.value(now) / outcomes : 0;
}

std::map<std::uint32_t, double> PriorityAdmission::probabilities(TimePoint now) const
{
    std::map<std::uint32_t, double> found;
    for (const auto &[priority, demand] : m_demands) {
        found[priority] = isLimited(now) ? demand.probability : 1;
    }
    return found;
}

void PriorityAdmission::advance(TimePoint now)
{
    if (now - m_advancedAt < Interval) {
        return;
    }
    m_advancedAt = now;
    recordOverdue(now);
    m_targets.removeOld(now);
    if (!isLimited(now)) {
        liftLimit();
        if (isShortOfCapacity(now)) {
            beginLimit(now);
        }
    } else {
        adaptLimit(now);
    }
    assignProbabilities(now);
}

/// Returns the delay ratio of the requests in flight if answers continue to arrive at the present rate. It
/// rises before answers are late. Zero if too few requests are in flight.
double PriorityAdmission::expectedRatio(TimePoint now) const
{
    double usual = 0;
    double count = 0;
    for (const auto &[flow, pending] : m_pending) {
        const std::optional<double> seconds = m_delay.usualSeconds(pending.route);
        if (seconds && pending.isAwaited) {
            usual += *seconds;
            ++count;
        }
    }
    const double rate = m_good.rising(now);
    return count >= SurgeRequests && rate > 0 ? count * count / (rate * usual) : 0;
}

/// Returns whether queues grow and the demand has risen sharply. A few intervals later the targets are full.
bool PriorityAdmission::isSurging(TimePoint now) const
{
    double longTerm = 0;
    for (const auto &[priority, demand] : m_demands) {
        longTerm += demand.longTerm.rate(now);
    }
    return demand(now) >= SurgeDemand * longTerm && expectedRatio(now) >= SurgeRatio;
}

bool PriorityAdmission::isShortOfCapacity(TimePoint now) const
{
    if (isSurging(now)) {
        return true;
    }
    const double share = turnedAwayShare(now);
    const FailingTargets::Spread spread = m_targets.spread(now);
    if (m_outcomes.value(now) < MinimumOutcomes || spread.failing < MinimumFailingTargets
        || share <= ShortShare) {
        return false;
    }
    const bool isSpread
        = static_cast<double>(spread.failing) >= FailingTargetShare * static_cast<double>(spread.targets);
    return m_delay.ratio(now) >= WaitingRatio || (share >= CertainShare && isSpread);
}

double PriorityAdmission::demand(TimePoint now) const
{
    double sum = 0;
    for (const auto &[priority, demand] : m_demands) {
        sum += demand.recent.rate(now);
    }
    return sum;
}

/// Returns whether a limit began recently, so that averages still cover the time before the surge.
bool PriorityAdmission::isEarly(TimePoint now) const
{
    return now - m_limitedAt < 2 * AnswerRate::AverageTime;
}

/// Returns the rate at which the targets answer flows of this instance.
double PriorityAdmission::capacity(TimePoint now) const
{
    return isEarly(now) ? m_goodFlows.rising(now) : m_goodFlows.average(now);
}

/// Returns by how much the rate of good answers should change: up while slots may be empty, down while
/// targets are full.
double PriorityAdmission::capacityFactor(TimePoint now) const
{
    const double ratio = isEarly(now) ? std::max(m_delay.ratio(now), expectedRatio(now)) : m_delay.ratio(now);
    const double byDelay = RatioGain * (1 - ratio / DesiredRatio);
    const double byTurnedAway = TurnedAwayGain * std::max(turnedAwayShare(now) - TolerableShare, 0.0);
    return std::clamp(
        1 + byDelay - std::min(byTurnedAway, MaximumTurnedAwayEffect), MinimumFactor, MaximumFactor);
}

void PriorityAdmission::beginLimit(TimePoint now)
{
    m_limitedAt = now;
    m_limit = std::max(capacity(now), InitialDemandShare * demand(now));
    m_roomyIntervals = 0;
}

void PriorityAdmission::adaptLimit(TimePoint now)
{
    const bool isWaiting = isEarly(now) || m_delay.answers(now) < 1 || m_delay.ratio(now) >= WaitingRatio;
    const double desired = capacity(now) * capacityFactor(now);
    m_limit = isWaiting ? std::clamp(desired, MinimumStep * m_limit, MaximumStep * m_limit)
                        : MaximumStep * m_limit;
    const bool isRoomy = m_limit >= LiftFactor * demand(now) && m_delay.ratio(now) < DesiredRatio;
    m_roomyIntervals = isRoomy ? m_roomyIntervals + 1 : 0;
    if (m_roomyIntervals >= LiftIntervals) {
        liftLimit();
    }
}

void PriorityAdmission::liftLimit()
{
    m_limit = std::numeric_limits<double>::infinity();
    m_roomyIntervals = 0;
}

/// Returns whether a priority is the highest one and there are lower ones, which give way first.
bool PriorityAdmission::isAboveOthers(std::uint32_t priority) const
{
    return m_demands.size() > 1 && priority <= m_demands.begin()->first;
}

/// Gives the highest priority its demand first, and each lower one what remains.
void PriorityAdmission::assignProbabilities(TimePoint now)
{
    double remaining = m_limit;
    for (auto &[priority, demand] : m_demands) {
        const bool isLowest = priority == m_demands.rbegin()->first;
        const double wanted = demand.recent.rate(now);
        demand.probability = wanted > remaining ? remaining / wanted : 1;
        if (isAboveOthers(priority) && turnedAwayShare(now) <= HighestPriorityShare) {
            demand.probability = 1;
        } else if (isLowest && remaining > 0) {
            demand.probability = std::max(demand.probability, LowestPriorityShare);
        }
        remaining = std::max(remaining - wanted * demand.probability, 0.0);
    }
}

} // namespace jasminequay
