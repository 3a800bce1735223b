#include "jasminequay/Model/loadmodel.h"

#include "jasminequay/Support/enumnames.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace jasminequay
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Endpoint ServiceAddress{{0x0a090001}, 443};
constexpr std::uint32_t FirstSequence = 1000;
/// Bytes of payload.
constexpr std::uint32_t RequestSize = 200;
constexpr std::uint32_t AnswerSize = 1000;
constexpr std::uint32_t RefusalSize = 200;
/// How often the instances are told that their data is current and sweep their flows.
constexpr Duration TickInterval = milliseconds(50);

/// Targets close flows that were idle for this time.
constexpr Duration FlowIdleTimeout = seconds(12);

/// When a caller retransmits its opening packet, counted from the first one. At the last time it gives up the
/// attempt.
constexpr std::array<Duration, 3> RetransmissionTimes{
    milliseconds(200), milliseconds(600), milliseconds(1400)};

static constexpr EnumNames<LoadChange, 4> LoadChangeNames{{
    {LoadChange::Surge, "surge"},
    {LoadChange::SlowTargets, "slow-targets"},
    {LoadChange::LostTargets, "lost-targets"},
    {LoadChange::FailingTargets, "failing-targets"},
}};

static constexpr EnumNames<QueuePolicy, 2> QueuePolicyNames{{
    {QueuePolicy::RefuseNewest, "refuse-newest"},
    {QueuePolicy::DropOldest, "drop-oldest"},
}};

std::string_view queuePolicyName(QueuePolicy policy)
{
    return nameIn(QueuePolicyNames, policy);
}

std::string_view loadChangeName(LoadChange change)
{
    return nameIn(LoadChangeNames, change);
}

double LoadResult::latency(double quantile) const
{
    if (latencies.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(latencies.size() - 1));
    return latencies[rank];
}

LoadModel::LoadModel(LoadPlan plan)
    : m_plan(std::move(plan))
    , m_random(m_plan.seed)
    , m_start(std::chrono::hours(1))
    , m_now(m_start)
    , m_instances(m_plan.dataCentres.size())
{
    if (m_plan.routes.empty()) {
        m_plan.routes.push_back({1, 0, true, m_plan.work});
    }
    m_idleFlows.resize(m_plan.dataCentres.size());
    for (auto &idle : m_idleFlows) {
        idle.resize(m_plan.routes.size());
    }
    m_result.routes.resize(m_plan.routes.size());
    for (std::uint32_t dataCentre = 0; dataCentre < m_plan.dataCentres.size(); ++dataCentre) {
        for (unsigned number = 0; number < m_plan.dataCentres[dataCentre].targets; ++number) {
            const auto index = static_cast<std::uint32_t>(m_records.size());
            TargetRecord record;
            record.name = "t-" + std::to_string(index);
            record.identity = {index + 1, 1};
            record.address = {{0x0a800000 + index}, 8080};
            record.service = "desk";
            record.dataCentre = m_plan.dataCentres[dataCentre].name;
            record.slots = m_plan.slots;
            record.revision = 1;
            m_records.push_back(record);
            m_targetDataCentres.push_back(dataCentre);
            m_targets.emplace_back(m_plan.slots, m_plan.queue, m_plan.queuePolicy);
        }
    }
    for (std::uint32_t dataCentre = 0; dataCentre < m_plan.dataCentres.size(); ++dataCentre) {
        addInstances(dataCentre);
        push(Duration::zero(), EventKind::Call, dataCentre);
    }
    push(TickInterval, EventKind::Tick, 0);
    m_result.seconds.resize(static_cast<std::size_t>(m_plan.length / seconds(1)) + 1);
    m_result.refusedBySecond.resize(m_result.seconds.size());
}

/// Returns the address of the service for a route.
static Endpoint addressOf(std::uint32_t route)
{
    return {ServiceAddress.address, static_cast<std::uint16_t>(ServiceAddress.port + route)};
}

static std::vector<Route> routesOf(const LoadPlan &plan)
{
    std::vector<Route> routes;
    for (std::uint32_t number = 0; number < plan.routes.size(); ++number) {
        Route route;
        route.name = "desk-" + std::to_string(number);
        route.address = addressOf(number);
        route.kind = plan.routes[number].isIdempotent ? RequestKind::Idempotent : RequestKind::NonIdempotent;
        route.services = {{"desk", 1}};
        route.objective = plan.objective;
        route.priority = plan.routes[number].priority;
        routes.push_back(route);
    }
    return routes;
}

void LoadModel::addInstances(std::uint32_t dataCentre)
{
    std::size_t totalInstances = 0;
    for (const ModelDataCentre &other : m_plan.dataCentres) {
        totalInstances += other.instances;
    }
    for (unsigned number = 0; number < m_plan.dataCentres[dataCentre].instances; ++number) {
        SteeringSettings settings;
        settings.dataCentre = m_plan.dataCentres[dataCentre].name;
        settings.loadLimits = m_plan.limits;
        settings.features.admitsByPriority = m_plan.admitsByPriority;
        auto engine = std::make_unique<SteeringEngine>(settings);
        engine->targets().replaceAll(m_records, 1, m_now);
        engine->replaceRoutes(RouteConfiguration{1, FlowIdleTimeout, routesOf(m_plan), {}}, m_now);
        engine->setInstanceCounts(m_plan.dataCentres[dataCentre].instances, totalInstances);
        engine->markCurrentAt(m_now);
        m_instances[dataCentre].push_back(std::move(engine));
    }
}

void LoadModel::push(Duration after, EventKind kind, std::uint32_t subject)
{
    m_events.push({m_now + after, m_nextOrder++, kind, subject});
}

LoadResult LoadModel::run()
{
    const TimePoint end = m_start + m_plan.length;
    while (!m_events.empty() && m_events.top().at < end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        handle(event);
    }
    for (const Call &call : m_calls) {
        if (!call.isDone) {
            countCall(call, &CallCounts::unserved);
        }
    }
    std::sort(m_result.latencies.begin(), m_result.latencies.end());
    return m_result;
}

void LoadModel::handle(const Event &event)
{
    switch (event.kind) {
    case EventKind::Call:
        return beginCall(event.subject);
    case EventKind::OpeningAtInstance:
        return onOpeningAtInstance(event.subject);
    case EventKind::RequestAtInstance:
        return onRequestAtInstance(event.subject);
    case EventKind::RequestAtTarget:
        return onRequestAtTarget(event.subject);
    case EventKind::WorkFinished:
        return onWorkFinished(event.subject);
    case EventKind::AnswerAtCaller:
        return onAnswerAtCaller(event.subject);
    case EventKind::Retry:
        return beginAttempt(event.subject);
    case EventKind::Tick:
        return tick();
    }
}

double LoadModel::uniformRandom()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

double LoadModel::activeFactor(LoadChange change, std::uint32_t dataCentre, std::uint32_t route) const
{
    double factor = 1;
    for (const LoadEvent &event : m_plan.events) {
        const bool isHere
            = event.dataCentre.empty() || event.dataCentre == m_plan.dataCentres[dataCentre].name;
        const bool isNow = m_now - m_start >= event.at && m_now - m_start < event.at + event.lasting;
        const bool isOfRoute = event.route.value_or(route) == route;
        factor *= event.change == change && isHere && isNow && isOfRoute ? event.factor : 1;
    }
    return factor;
}

/// Returns whether a target is among the share of targets that a change affects now.
bool LoadModel::isAffected(LoadChange change, std::uint32_t target) const
{
    const double share = activeFactor(change, m_targetDataCentres[target]);
    // Without an active event the factor is one and no target is affected.
    return share < 1 && static_cast<double>(target % 10) < share * 10;
}

bool LoadModel::isLost(std::uint32_t target) const
{
    return isAffected(LoadChange::LostTargets, target);
}

Duration LoadModel::delayTo(std::uint32_t target, std::uint32_t dataCentre) const
{
    return m_targetDataCentres[target] == dataCentre ? Duration::zero() : m_plan.dataCentreDelay;
}

bool LoadModel::isMeasured(const Call &call) const
{
    const Duration since = call.startedAt - m_start;
    return since >= m_plan.measureFrom && since < m_plan.measureTo;
}

void LoadModel::countCall(const Call &call, std::uint64_t CallCounts::*count)
{
    const Duration since = call.startedAt - m_start;
    ++(m_result.seconds[static_cast<std::size_t>(since / seconds(1))].*count);
    if (isMeasured(call)) {
        ++(m_result.measured.*count);
        ++(m_result.routes[call.route].*count);
    }
}

/// Returns the calls per second of a route in a data centre.
double LoadModel::callRate(std::uint32_t dataCentre, std::uint32_t route) const
{
    return m_plan.dataCentres[dataCentre].callsPerSecond * m_plan.routes[route].callShare
        * activeFactor(LoadChange::Surge, dataCentre, route);
}

/// Returns the route of the next call, drawn by the call rates.
std::uint32_t LoadModel::drawRoute(std::uint32_t dataCentre)
{
    if (m_plan.routes.size() == 1) {
        return 0;
    }
    std::vector<double> rates;
    for (std::uint32_t route = 0; route < m_plan.routes.size(); ++route) {
        rates.push_back(callRate(dataCentre, route));
    }
    return std::discrete_distribution<std::uint32_t>(rates.begin(), rates.end())(m_random);
}

void LoadModel::beginCall(std::uint32_t dataCentre)
{
    double rate = 0;
    for (std::uint32_t route = 0; route < m_plan.routes.size(); ++route) {
        rate += callRate(dataCentre, route);
    }
    const std::chrono::duration<double> pause(-std::log(1 - uniformRandom()) / rate);
    push(std::chrono::duration_cast<Duration>(pause), EventKind::Call, dataCentre);
    m_calls.push_back({m_now, dataCentre, drawRoute(dataCentre), 0, false});
    countCall(m_calls.back(), &CallCounts::offered);
    beginAttempt(static_cast<std::uint32_t>(m_calls.size() - 1));
}

/// Returns an idle flow of the data centre or a new one. Retries always use a new flow.
std::uint32_t LoadModel::takeFlow(std::uint32_t dataCentre, std::uint32_t route, bool isRetry)
{
    std::vector<std::uint32_t> &idle = m_idleFlows[dataCentre][route];
    while (!isRetry && !idle.empty() && uniformRandom() >= m_plan.newFlowShare) {
        std::swap(idle[m_random() % idle.size()], idle.back());
        const std::uint32_t number = idle.back();
        idle.pop_back();
        if (m_now - m_flows[number].idleSince < FlowIdleTimeout && !isLost(m_flows[number].target)) {
            return number;
        }
    }
    Flow flow;
    const auto number = static_cast<std::uint32_t>(m_flows.size());
    flow.endpoints = {{{0x64400000 + (number >> 15)}, static_cast<std::uint16_t>(1024 + (number & 0x7fff))},
        addressOf(route)};
    flow.dataCentre = dataCentre;
    flow.route = route;
    flow.instance = static_cast<std::uint32_t>(m_random() % m_instances[dataCentre].size());
    flow.sequence = FirstSequence;
    m_flows.push_back(flow);
    return number;
}

void LoadModel::beginAttempt(std::uint32_t call)
{
    ++m_calls[call].attempts;
    const std::uint32_t flow
        = takeFlow(m_calls[call].dataCentre, m_calls[call].route, m_calls[call].attempts > 1);
    m_attempts.push_back({call, flow, 0, false});
    const auto number = static_cast<std::uint32_t>(m_attempts.size() - 1);
    push(m_plan.callerDelay,
        m_flows[flow].token == NoToken ? EventKind::OpeningAtInstance : EventKind::RequestAtInstance, number);
}

SteeringDecision LoadModel::decide(
    const Flow &flow, bool isOpening, std::uint32_t retransmission, std::uint32_t size)
{
    PacketSummary packet;
    packet.flow = flow.endpoints;
    packet.token = flow.token;
    packet.isOpening = isOpening;
    packet.openingCopy = retransmission;
    packet.sequence = flow.sequence;
    packet.acknowledged = flow.acknowledged;
    packet.dataSize = size;
    return m_instances[flow.dataCentre][flow.instance]->decideSummary(packet, m_now);
}

/// Handles an opening packet, or a retransmission of it, that has reached its instance.
void LoadModel::onOpeningAtInstance(std::uint32_t number)
{
    Attempt &attempt = m_attempts[number];
    Flow &flow = m_flows[attempt.flow];
    const SteeringDecision decision = decide(flow, true, attempt.retransmissions, 0);
    if (decision.action == SteeringAction::Reset) {
        ++m_result.refusedAttempts;
        ++m_result.refusedBySecond[static_cast<std::size_t>((m_now - m_start) / seconds(1))];
        return scheduleRetry(attempt.call);
    }
    if (decision.action == SteeringAction::Forward) {
        const auto target = static_cast<std::uint32_t>(decision.targetId - 1);
        const bool isSilent = m_plan.turnAway == TurnAway::LeaveUnanswered && m_targets[target].isFull();
        if (isSilent) {
            ++m_result.sentAttempts;
            ++m_result.shedAttempts;
        } else if (!isLost(target)) {
            flow.target = target;
            flow.token = decision.token;
            flow.acknowledged = FirstSequence;
            ++flow.sequence;
            m_result.otherDataCentre += m_targetDataCentres[target] == flow.dataCentre ? 0 : 1;
            push(2 * (m_plan.callerDelay + delayTo(target, flow.dataCentre)), EventKind::RequestAtInstance,
                number);
            return;
        }
    }
    if (attempt.retransmissions + 1 == RetransmissionTimes.size()) {
        return scheduleRetry(attempt.call);
    }
    const Duration previous
        = attempt.retransmissions == 0 ? Duration::zero() : RetransmissionTimes[attempt.retransmissions - 1];
    push(RetransmissionTimes[attempt.retransmissions++] - previous, EventKind::OpeningAtInstance, number);
}

/// Handles a request that has reached its instance.
void LoadModel::onRequestAtInstance(std::uint32_t number)
{
    Flow &flow = m_flows[m_attempts[number].flow];
    const SteeringDecision decision = decide(flow, false, 0, RequestSize);
    if (decision.action != SteeringAction::Forward) {
        return scheduleRetry(m_attempts[number].call);
    }
    flow.sequence += RequestSize;
    push(delayTo(flow.target, flow.dataCentre), EventKind::RequestAtTarget, number);
}

void LoadModel::onRequestAtTarget(std::uint32_t number)
{
    const Flow &flow = m_flows[m_attempts[number].flow];
    if (isLost(flow.target)) {
        return;
    }
    ++m_result.sentAttempts;
    if (isAffected(LoadChange::FailingTargets, flow.target)) {
        return turnAway(number);
    }
    const ModelTarget::Arrival arrival = m_targets[flow.target].arrive(number);
    if (arrival.isStarted) {
        startWork(number);
    }
    if (arrival.shed) {
        turnAway(*arrival.shed);
    }
}

/// Rejects a request that has reached a target.
void LoadModel::turnAway(std::uint32_t number)
{
    ++m_result.shedAttempts;
    Attempt &attempt = m_attempts[number];
    attempt.isShed = true;
    const Flow &flow = m_flows[attempt.flow];
    push(m_plan.shedDelay + m_plan.callerDelay + delayTo(flow.target, flow.dataCentre),
        EventKind::AnswerAtCaller, number);
}

void LoadModel::startWork(std::uint32_t number)
{
    const Flow &flow = m_flows[m_attempts[number].flow];
    const double spread = m_plan.workSpread;
    std::lognormal_distribution<double> work(-spread * spread / 2, spread);
    const double factor = activeFactor(LoadChange::SlowTargets, m_targetDataCentres[flow.target]);
    const std::chrono::duration<double> mean = m_plan.routes[flow.route].work;
    push(std::chrono::duration_cast<Duration>(mean * work(m_random) * factor), EventKind::WorkFinished,
        number);
}

void LoadModel::onWorkFinished(std::uint32_t number)
{
    const Flow &flow = m_flows[m_attempts[number].flow];
    if (const std::optional<std::uint32_t> next = m_targets[flow.target].finish()) {
        startWork(*next);
    }
    if (!isLost(flow.target)) {
        push(m_plan.callerDelay + delayTo(flow.target, flow.dataCentre), EventKind::AnswerAtCaller, number);
    }
}

/// Handles an answer that has reached its caller. The caller's acknowledgement passes the instance.
void LoadModel::onAnswerAtCaller(std::uint32_t number)
{
    Attempt &attempt = m_attempts[number];
    Flow &flow = m_flows[attempt.flow];
    if (attempt.isShed && m_plan.turnAway == TurnAway::Reset) {
        return m_plan.routes[flow.route].isIdempotent ? scheduleRetry(attempt.call) : void();
    }
    flow.acknowledged += attempt.isShed ? RefusalSize : AnswerSize;
    static_cast<void>(decide(flow, false, 0, 0)); // a decision about an acknowledgement needs no action
    flow.idleSince = m_now;
    m_idleFlows[flow.dataCentre][flow.route].push_back(attempt.flow);
    if (attempt.isShed) {
        return scheduleRetry(attempt.call);
    }
    Call &call = m_calls[attempt.call];
    const Duration elapsed = m_now - call.startedAt;
    if (call.isDone || elapsed > m_plan.deadline) {
        return;
    }
    call.isDone = true;
    countCall(call, elapsed <= m_plan.objective ? &CallCounts::withinObjective : &CallCounts::late);
    if (isMeasured(call)) {
        m_result.latencies.push_back(std::chrono::duration<double, std::milli>(elapsed).count());
    }
}

void LoadModel::scheduleRetry(std::uint32_t call)
{
    const bool isPastDeadline = m_now - m_calls[call].startedAt + m_plan.retryPause >= m_plan.deadline;
    if (m_calls[call].attempts <= m_plan.retries && !isPastDeadline) {
        push(m_plan.retryPause, EventKind::Retry, call);
    }
}

/// Probes the targets that an engine suspects, as its instance would.
void LoadModel::probeTargets(SteeringEngine &engine)
{
    const std::vector<std::uint64_t> watched(
        engine.targets().watched().begin(), engine.targets().watched().end());
    for (const std::uint64_t key : watched) {
        KnownTarget &target = *engine.targets().find(key);
        if (target.evidence.needsProbe(m_now)) {
            const bool isSilent = isLost(static_cast<std::uint32_t>(target.record.identity.id - 1));
            target.evidence.recordProbeStarted(m_now);
            target.evidence.recordProbe(
                isSilent ? Reachability::Silent : Reachability::Connected, m_now, m_now);
            if (target.evidence.isLost(m_now)) {
                reportLost(key);
            }
        }
    }
}

/// Tells all instances that one of them considers a target lost.
void LoadModel::reportLost(std::uint64_t key)
{
    for (const auto &instances : m_instances) {
        for (const auto &engine : instances) {
            KnownTarget &target = *engine->targets().find(key);
            target.evidence.recordPeerReport(m_now);
            engine->targets().watch(target);
        }
    }
}

void LoadModel::tick()
{
    constexpr std::size_t ResetsPerTick = 200;
    for (const auto &instances : m_instances) {
        for (const auto &engine : instances) {
            engine->markCurrentAt(m_now);
            probeTargets(*engine);
            static_cast<void>(engine->sweep(
                m_now, ResetsPerTick)); // resets are ignored: flows at lost targets are not reused
        }
    }
    push(TickInterval, EventKind::Tick, 0);
}

} // namespace jasminequay
