#include "jasminequay/Node/steeringcontrol.h"

#include "jasminequay/Peer/fleetcodec.h"
#include "jasminequay/Support/bootclock.h"
#include "jasminequay/Support/logevent.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace jasminequay
{

using std::chrono::milliseconds;

/// The most resets that one tick sends.
constexpr std::size_t MaximumResetsPerTick = 200;

/// A target that stays lost is reported to the peers again after this time.
constexpr Duration LossReportInterval = std::chrono::seconds(1);
constexpr std::size_t MaximumLossesPerReport = 32;

/// If the last tick is longer ago than this, the process was paused.
constexpr Duration PauseThreshold = milliseconds(700);

/// How long packets wait after a pause for routes and targets to be renewed.
constexpr Duration ResumeHoldTime = milliseconds(250);

static SteeringSettings engineSettings(const SteeringInstanceSettings &settings)
{
    SteeringSettings engine;
    engine.dataCentre = settings.dataCentre;
    engine.flowCapacity = settings.flowMemory;
    engine.flowLifetime = settings.flowLifetime;
    engine.features = settings.features;
    // A reader's confirmation of the state of the store arrives once in each wait of its watch.
    engine.refusalAge = readerTiming(settings.settingsBound).currency;
    engine.directory.observationGap = engine.refusalAge;
    engine.directory.tombstoneLifetime = settings.flowLifetime;
    return engine;
}

static FleetSettings fleetSettings(const SteeringInstanceSettings &settings, std::uint64_t incarnation)
{
    FleetSettings fleet;
    fleet.control = settings.control;
    fleet.dataCentre = settings.dataCentre;
    fleet.seeds = settings.seeds;
    fleet.settingsBound = settings.settingsBound;
    fleet.storeReadsPerSecond = settings.storeReadsPerSecond;
    fleet.isFirstStart = settings.isFirstStart;
    fleet.incarnation = incarnation;
    fleet.randomSeed = hashWords(incarnation, settings.control.packed());
    return fleet;
}

SteeringControl::SteeringControl(boost::asio::io_context &context, const SteeringInstanceSettings &settings,
    std::string targetNameHeader, std::uint64_t incarnation, TimePoint now)
    : m_context(context)
    , m_settings(settings)
    , m_targetNameHeader(std::move(targetNameHeader))
    , m_engine(engineSettings(settings))
    , m_fleet(fleetSettings(settings, incarnation), m_engine, now)
    , m_peers(context,
          {[this](const FleetMessage &message) { onMessage(message, bootTime()); },
              [this](
                  const FetchResponse &response) { perform(m_fleet.onFetchResponse(response, bootTime())); },
              [this](Endpoint) {
                  m_fleet.onFetchFailed(bootTime());
              }})
    , m_lastTickAt(now)
{
    m_engine.coldTargets().start(m_fleet.members().self().instance, now);
    m_engine.coldTargets().setBound({settings.coldFactor, settings.coldSlack});
}

Result<void> SteeringControl::open()
{
    return m_peers.open({m_settings.boundAddress(), m_settings.peerPort});
}

StoreReadRequest SteeringControl::nextRead(TimePoint now) const
{
    return m_fleet.nextRead(now);
}

void SteeringControl::onStoreAnswer(const StoreAnswer &answer, TimePoint startedAt, TimePoint now)
{
    m_storeCounters.calls += answer.calls;
    m_storeCounters.changes += answer.update.targets.size() + answer.update.removals.size()
        + answer.update.evacuations.size() + (answer.update.routes ? 1 : 0);
    logStoreState(answer);
    perform(m_fleet.onStoreAnswer(answer, startedAt, now));
}

/// Logs when the store starts to fail and when it answers again.
void SteeringControl::logStoreState(const StoreAnswer &answer)
{
    if (answer.outcome == StoreOutcome::TooLarge) {
        ++m_storeCounters.oversizedAnswers;
        LogEvent(Severity::Warning, "store-answer-too-large")
            .with("store", format(m_settings.store))
            .with("read", answer.update.isComplete ? "complete" : "changes")
            .with("revision", describeRevision(m_fleet.revision()))
            .with("reason", answer.reason);
    }
    const bool isOfEarlierEra = answer.era && *answer.era < m_fleet.storeEra();
    const bool isUnreadable = answer.outcome == StoreOutcome::TooLarge && answer.update.isComplete;
    const bool isFailing = isUnreadable || isOfEarlierEra || answer.outcome == StoreOutcome::Refused
        || answer.outcome == StoreOutcome::Failed;
    m_storeCounters.failures += isFailing ? 1 : 0;
    if (isFailing == m_isStoreFailing) {
        return;
    }
    m_isStoreFailing = isFailing;
    LogEvent event(
        isFailing ? Severity::Warning : Severity::Info, isFailing ? "store-lost" : "store-regained");
    event.with("store", format(m_settings.store)).with("outcome", storeOutcomeName(answer.outcome));
    if (isFailing) {
        event.with("reason", isOfEarlierEra ? "the answer is of an earlier era" : answer.reason);
    }
}

void SteeringControl::perform(const FleetActions &actions)
{
    for (const OutgoingFleetMessage &outgoing : actions.messages) {
        m_peers.send(outgoing);
    }
    if (actions.fetch) {
        m_peers.fetch(*actions.fetch);
    }
    logChanges(bootTime());
}

/// Returns the age in milliseconds of the last proof that routes and targets are complete, for logs.
std::string SteeringControl::directoryAgeText(TimePoint now) const
{
    if (m_engine.currentAt() == TimePoint{}) {
        return "unproved";
    }
    return std::to_string(std::chrono::duration_cast<milliseconds>(now - m_engine.currentAt()).count());
}

/// Logs new routes and the begin and end of the reader role.
void SteeringControl::logChanges(TimePoint now)
{
    const RouteConfiguration &routes = m_engine.routes().configuration();
    if (routes.version != m_loggedVersion) {
        m_loggedVersion = routes.version;
        LogEvent(Severity::Info, "routes-in-force")
            .with("version", routes.version)
            .with("routes", routes.routes.size())
            .with("revision", describeRevision(m_fleet.revision()))
            .with("targets", m_engine.targets().listedCount())
            .with("age_ms", directoryAgeText(now));
    }
    m_presenceWatch.logTransitions(m_engine.targets());
    for (const std::string &dataCentre : m_evacuationWatch.logTransitions(m_engine.targets())) {
        m_engine.restartWarmUp(dataCentre, now);
    }
    if (m_fleet.storeEra() != m_loggedEra) {
        m_loggedEra = m_fleet.storeEra();
        LogEvent(Severity::Warning, "store-era")
            .with("era", m_loggedEra)
            .with("revision", describeRevision(m_fleet.revision()));
    }
    if (m_fleet.isReading() != m_wasReading) {
        m_wasReading = m_fleet.isReading();
        LogEvent(Severity::Info, m_wasReading ? "reading-begun" : "reading-ended")
            .with("revision", describeRevision(m_fleet.revision()))
            .with("members", m_fleet.members().members().size());
    }
}

void SteeringControl::logDecision(
    const PacketSummary &packet, const SteeringDecision &decision, TimePoint now)
{
    if (decision.cause == SteeringCause::ByToken) {
        return;
    }
    LogEvent event(Severity::Info, "packet-" + std::string(steeringActionName(decision.action)));
    event.with("caller", format(packet.flow.caller)).with("service", format(packet.flow.service));
    event.with("cause", steeringCauseName(decision.cause));
    if (decision.action == SteeringAction::Forward) {
        event.with("target", format(decision.target)).with("token", decision.token);
    }
    event.with("version", m_engine.routes().configuration().version).with("age_ms", directoryAgeText(now));
}

void SteeringControl::logResets(const std::vector<PendingReset> &resets, TimePoint now)
{
    for (const PendingReset &reset : resets) {
        LogEvent event(Severity::Info, "flow-reset");
        event.with("caller", format(reset.flow.caller)).with("service", format(reset.flow.service));
        event.with("cause", steeringCauseName(reset.cause));
        if (const KnownTarget *const target = m_engine.targets().find(reset.targetKey)) {
            event.with("target", target->record.name)
                .with("reachability", reachabilityName(target->evidence.reachability()))
                .with("stalled_flows", target->evidence.stalledFlows())
                .with("silent_ms",
                    std::chrono::duration_cast<milliseconds>(now - target->evidence.silentSince()).count());
        }
    }
}

std::vector<PendingReset> SteeringControl::tick(TimePoint now)
{
    detectPause(now);
    perform(m_fleet.tick(now));
    m_engine.setInstanceCounts(m_fleet.localInstanceCount(), m_fleet.members().members().size() + 1);
    m_loadWatch.logTransitions(m_engine, now);
    m_coldWatch.tick(m_engine, m_fleet.members(), now);
    startProbes(now);
    std::vector<PendingReset> resets = m_engine.sweep(now, MaximumResetsPerTick);
    logResets(resets, now);
    logChanges(now); // sweep() ends evacuations that an older copy of the store lacks
    reportTargetLosses(now);
    reportTargetFailures(now);
    return resets;
}

void SteeringControl::onMessage(const FleetMessage &message, TimePoint now)
{
    if (!isResuming(now)) {
        perform(m_fleet.onMessage(message, now));
    }
}

/// Returns whether the process was paused and the tick that detects it is still to come: packets and messages
/// may be handled before that tick.
bool SteeringControl::isResuming(TimePoint now) const
{
    return now - m_lastTickAt > PauseThreshold;
}

void SteeringControl::detectPause(TimePoint now)
{
    if (isResuming(now)) {
        m_resumedAt = now;
        LogEvent(Severity::Warning, "pause-detected")
            .with("paused_ms", std::chrono::duration_cast<milliseconds>(now - m_lastTickAt).count())
            .with("messages_discarded", m_peers.discardBacklog());
    }
    m_lastTickAt = now;
}

bool SteeringControl::maySteer(TimePoint now) const
{
    if (!m_fleet.isLoaded()) {
        return false;
    }
    const TimePoint resumedAt = isResuming(now) ? now : m_resumedAt;
    const bool isRenewed = m_engine.currentAt() >= resumedAt;
    return isRenewed || now - resumedAt >= ResumeHoldTime;
}

void SteeringControl::startProbes(TimePoint now)
{
    for (const std::uint64_t key : m_engine.targets().watched()) {
        KnownTarget &target = *m_engine.targets().find(key);
        if (target.presence == TargetPresence::Gone || !target.evidence.needsProbe(now)) {
            continue;
        }
        target.evidence.recordProbeStarted(now);
        ProbeQuestion question{"/", m_targetNameHeader};
        const auto &paths = m_engine.routes().configuration().healthPaths;
        if (const auto path = paths.find(target.record.service); path != paths.end()) {
            question.path = path->second;
        }
        boost::asio::co_spawn(
            m_context, probe(key, target.record.address, std::move(question)), boost::asio::detached);
    }
}

boost::asio::awaitable<void> SteeringControl::probe(
    std::uint64_t key, Endpoint address, ProbeQuestion question)
{
    const TimePoint startedAt = bootTime();
    const TargetProbe result = co_await probeTarget(address, std::move(question));
    ++m_probeCounters[result.reachability];
    if (KnownTarget *const target = m_engine.targets().find(key)) {
        recordProbe(*target, result, startedAt, bootTime());
    }
}

void SteeringControl::recordProbe(
    KnownTarget &target, const TargetProbe &result, TimePoint startedAt, TimePoint now)
{
    target.evidence.recordProbe(result.reachability, startedAt, now);
    const bool isReplaced = !result.name.empty() && result.name != target.record.name;
    LogEvent(Severity::Info, isReplaced ? "target-replaced" : "target-probed")
        .with("target", target.record.name)
        .with("outcome", reachabilityName(result.reachability))
        .with("answered_by", result.name)
        .with("verdict", targetVerdictName(target.evidence.verdict(now)))
        .with("stalled_flows", target.evidence.stalledFlows());
    if (isReplaced) {
        m_engine.targets().markReplaced(target.key, now);
    }
}

void SteeringControl::reportTargetLosses(TimePoint now)
{
    std::vector<TargetLossReport> losses;
    for (const std::uint64_t key : m_engine.targets().watched()) {
        const KnownTarget &target = *m_engine.targets().find(key);
        const TargetVerdict verdict = target.evidence.verdict(now);
        if (!target.evidence.isLost(now) || target.presence == TargetPresence::Gone
            || losses.size() >= MaximumLossesPerReport) {
            continue;
        }
        TimePoint &reportedAt = m_lossReportTimes[key];
        if (reportedAt != TimePoint{} && now - reportedAt < LossReportInterval) {
            continue;
        }
        reportedAt = now;
        losses.push_back({key, verdict});
        LogEvent(Severity::Warning, "target-lost")
            .with("target", target.record.name)
            .with("verdict", targetVerdictName(verdict))
            .with("data_centre", target.record.dataCentre);
    }
    std::erase_if(
        m_lossReportTimes, [now](const auto &item) { return now - item.second > 10 * LossReportInterval; });
    if (!losses.empty()) {
        perform(m_fleet.reportTargetLosses(losses, now));
    }
}

/// Reports the failed answers that were observed since the last tick, and logs ejected targets.
void SteeringControl::reportTargetFailures(TimePoint now)
{
    if (!m_engine.ejectsOutliers()) {
        return;
    }
    const std::size_t peers = std::max<std::size_t>(m_fleet.localInstanceCount(), 1) - 1;
    const std::vector<TargetFailures> failures = m_engine.outliers().takeReports(peers, now);
    if (!failures.empty() && peers > 0) {
        perform(m_fleet.reportTargetFailures(failures, now));
    }
    m_outlierLog.logTransitions(m_engine, now);
}

void SteeringControl::reconfigure(const SteeringInstanceSettings &settings)
{
    const bool needsRestart = settings.packets != m_settings.packets || settings.control != m_settings.control
        || settings.readiness != m_settings.readiness || settings.peerPort != m_settings.peerPort
        || settings.store != m_settings.store || settings.bindAddress != m_settings.bindAddress;
    m_fleet.reconfigure(settings.seeds, settings.settingsBound, bootTime());
    m_settings.seeds = settings.seeds;
    m_settings.settingsBound = settings.settingsBound;
    m_settings.gracePeriod = settings.gracePeriod;
    m_engine.coldTargets().setBound({settings.coldFactor, settings.coldSlack});
    LogEvent(Severity::Info, "settings-reloaded")
        .with("seeds", settings.seeds.size())
        .with("addresses_need_restart", needsRestart ? "yes" : "no");
}

void SteeringControl::beginLeave(TimePoint now)
{
    m_isLeaving = true;
    perform(m_fleet.beginLeave(now));
}

std::string SteeringControl::encodedFetchResponse(const FetchRequest &request, TimePoint now)
{
    if (!m_fleet.isLoaded()) {
        return {};
    }
    return encodeImage(m_fleet.answerFetch(request, now));
}

} // namespace jasminequay
