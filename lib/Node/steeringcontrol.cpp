#include "jasminequay/Node/steeringcontrol.h"

#include "jasminequay/Platform/reachabilityprobe.h"
#include "jasminequay/Support/logevent.h"

namespace jasminequay
{

using std::chrono::milliseconds;

/// A waiting read is renewed this often, so that one that went silent for good is noticed in time.
constexpr Duration WatchWait = milliseconds(1000);

/// How long an answer of the store may take: many times its usual four milliseconds.
constexpr Duration StoreTimeout = milliseconds(500);

constexpr Duration RetryDelay = milliseconds(200);

/// Resets in one tick.
constexpr std::size_t ResetsPerTick = 200;

static SteeringSettings engineSettings(const SteeringInstanceSettings &settings)
{
    SteeringSettings engine;
    engine.dataCentre = settings.dataCentre;
    engine.flowCapacity = settings.flowMemory;
    engine.flowLifetime = settings.flowLifetime;
    engine.directory.tombstoneLifetime = settings.flowLifetime;
    return engine;
}

SteeringControl::SteeringControl(boost::asio::io_context &context, const SteeringInstanceSettings &settings)
    : m_context(context)
    , m_settings(settings)
    , m_engine(engineSettings(settings))
{
}

FeedRequest SteeringControl::nextRead(TimePoint now)
{
    FeedRequest request;
    request.isWanted = now >= m_retryAt;
    request.isComplete = m_needsAll;
    request.after = m_revision;
    request.wait = WatchWait;
    request.timeout = StoreTimeout;
    return request;
}

void SteeringControl::takeAnswer(const StoreAnswer &answer, TimePoint startedAt, TimePoint now)
{
    m_store.calls += answer.calls;
    const bool isAnswered = answer.outcome == StoreOutcome::Answered;
    if (isAnswered) {
        m_needsAll = false;
        apply(answer.update, now);
        m_engine.noteCurrent(answer.update.isComplete ? startedAt : now - StoreTimeout);
    }
    if (answer.outcome == StoreOutcome::HistoryLost) {
        m_needsAll = true;
    }
    const bool isFailing = answer.outcome == StoreOutcome::Refused || answer.outcome == StoreOutcome::Failed;
    if (isFailing) {
        ++m_store.failures;
        m_retryAt = now + RetryDelay;
    }
    if (isFailing != m_isStoreFailing) {
        m_isStoreFailing = isFailing;
        LogEvent(isFailing ? Severity::Warning : Severity::Info, isFailing ? "store-lost" : "store-regained")
            .with("store", format(m_settings.store))
            .with("outcome", storeOutcomeName(answer.outcome))
            .with("reason", answer.reason);
    }
}

void SteeringControl::apply(const DirectoryUpdate &update, TimePoint now)
{
    if (update.routes) {
        const std::uint64_t version = update.routes->version;
        const std::size_t routes = update.routes->routes.size();
        if (m_engine.routes().adopt(*update.routes)) {
            LogEvent(Severity::Info, "routes-in-force").with("version", version).with("routes", routes);
        }
    }
    if (update.isComplete) {
        m_engine.targets().replaceAll(update.targets, update.revision, now);
    } else {
        for (const TargetRecord &record : update.targets) {
            m_engine.targets().put(record, now);
        }
    }
    for (const TargetRemoval &removal : update.removals) {
        m_engine.targets().remove(removal.name, removal.revision, now);
    }
    m_revision = std::max(m_revision, update.revision);
}

void SteeringControl::noteDecision(
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
    const auto age = std::chrono::duration_cast<milliseconds>(now - m_engine.currentAt()).count();
    event.with("version", m_engine.routes().configuration().version).with("age_ms", age);
}

std::vector<PendingReset> SteeringControl::tick(TimePoint now)
{
    startProbes(now);
    return m_engine.sweep(now, ResetsPerTick);
}

void SteeringControl::startProbes(TimePoint now)
{
    for (auto &[key, target] : m_engine.targets().targets()) {
        if (target.presence == TargetPresence::Gone || !target.evidence.wantsProbe(now)) {
            continue;
        }
        target.evidence.noteProbeStarted(now);
        boost::asio::co_spawn(m_context, probe(key, target.record.address), boost::asio::detached);
    }
}

boost::asio::awaitable<void> SteeringControl::probe(std::uint64_t key, Endpoint address)
{
    const TimePoint startedAt = bootTime();
    const Reachability outcome = co_await probeReachability(address);
    if (KnownTarget *const target = m_engine.targets().find(key)) {
        const TimePoint now = bootTime();
        target->evidence.noteProbe(outcome, startedAt, now);
        LogEvent(Severity::Info, "target-probed")
            .with("target", target->record.name)
            .with("outcome", reachabilityName(outcome))
            .with("verdict", targetVerdictName(target->evidence.verdict(now)));
    }
}

void SteeringControl::beginLeave(TimePoint)
{
    m_isLeaving = true;
}

} // namespace jasminequay
