#include "jasminequay/Steering/outlierejection.h"

#include "jasminequay/Support/enumnames.h"
#include "jasminequay/Support/hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jasminequay
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Failures count for this long.
constexpr Duration FailureLifetime = seconds(1);

/// The number of failures that eject a target of a service in which nothing else fails.
constexpr std::uint32_t MinimumFailures = 2;

/// A target is ejected only if its failures exceed this multiple of the mean of the others in its data centre
/// by one. In an overload or with packet loss all targets fail now and then, and some of them twice in a
/// second.
constexpr double MeanFactor = 3;

/// The share of the other targets of a data centre with failures from which on a failure is common, and the
/// least number of them.
constexpr double CommonShare = 0.25;
constexpr double MinimumCommonTargets = 2;

/// The maximum number of observations that are kept for a target.
constexpr std::size_t MaximumObservations = 32;

/// The share of failed answers from which on a service fails as a whole.
constexpr double FailingShare = 0.2;

/// The number of failures below which the share is not significant.
constexpr std::uint32_t SignificantFailures = 6;

constexpr Duration FirstPeriod = seconds(1);
constexpr Duration LongestPeriod = seconds(8);

/// The period of an ejection starts anew after this time without one.
constexpr Duration PeriodMemory = seconds(10);

/// On probation one in this many flows tries a target, selected by hash. Probation begins at about the same
/// time at all instances, and one opening of each at once would overload the target.
constexpr std::uint64_t FlowsPerTrial = 32;

/// Makes the selection independent of other uses of the same hash.
constexpr std::uint64_t TrialSalt = 0x7472'6961'6c00'0000;

/// An opening on probation without an outcome blocks further ones for this long.
constexpr Duration TrialTimeout = seconds(2);

/// A target that no repeatable opening has reached for this long on probation is readmitted: its service may
/// have no repeatable route.
constexpr Duration UntriedLifetime = seconds(4);

/// The maximum number of failures that one report counts for, so that a wrong peer has limited weight.
constexpr std::uint32_t MaximumReportedCount = 8;

/// The maximum number of reports per second and at once.
constexpr double MaximumReportRate = 10;

/// The bytes per second that reports may use on average, and the approximate size of a report. They lower the
/// rate in large data centres, where each report goes to many peers.
constexpr double ReportBytesPerSecond = 4000;
constexpr double ReportSize = 200;

/// The bytes that reports may use at once.
constexpr double ReportBurstBytes = 60'000;

/// The minimum number of reports at once, whatever the number of peers.
constexpr double MinimumReportBurst = 2;

constexpr std::size_t MaximumReportedTargets = 32;
constexpr std::size_t MaximumEvents = 64;

static constexpr EnumNames<EjectionStage, 3> EjectionStageNames{{
    {EjectionStage::Admitted, "admitted"},
    {EjectionStage::Ejected, "ejected"},
    {EjectionStage::Probation, "probation"},
}};

std::string_view ejectionStageName(EjectionStage stage)
{
    return nameIn(EjectionStageNames, stage);
}

OutlierEjection::State &OutlierEjection::stateOf(const OutlierCandidate &target)
{
    const auto [position, isNew] = m_states.try_emplace(target.key);
    if (isNew) {
        position->second.service = target.service;
        position->second.dataCentre = target.dataCentre;
    }
    return position->second;
}

OutlierEjection::Service &OutlierEjection::serviceOf(std::string_view service)
{
    const auto found = m_services.find(service);
    return found != m_services.end() ? found->second : m_services[std::string(service)];
}

bool OutlierEjection::isServiceFailing(std::string_view service, TimePoint now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return false;
    }
    const std::uint32_t failures = found->second.failures.sum(now);
    return failures >= SignificantFailures && failures >= FailingShare * found->second.answers.sum(now);
}

/// Detects that a service begins to fail as a whole. Ejections of the last second were then caused by it, and
/// are lifted.
void OutlierEjection::updateService(std::string_view name, TimePoint now)
{
    const bool isFailing = isServiceFailing(name, now);
    Service &service = serviceOf(name);
    const bool isBeginning = isFailing && !service.isFailing;
    service.isFailing = isFailing;
    if (isBeginning) {
        liftRecentEjections(name, now);
    }
}

void OutlierEjection::liftRecentEjections(std::string_view service, TimePoint now)
{
    for (auto &[key, state] : m_states) {
        if (state.service == service && state.isEjected && now - state.ejectedAt < FailureLifetime) {
            readmit(key, state, now);
        }
    }
}

void OutlierEjection::recordSuccess(const OutlierCandidate &target, TimePoint requestedAt, TimePoint now)
{
    serviceOf(target.service).answers.add(1, now);
    updateService(target.service, now);
    const auto found = m_states.find(target.key);
    if (found == m_states.end()) {
        return;
    }
    State &state = found->second;
    const bool isTried = stage(target.key, now) == EjectionStage::Probation;
    // Answers to earlier requests do not show that the target has recovered.
    if (isTried && requestedAt >= state.ejectedUntil) {
        readmit(target.key, state, now);
    }
}

void OutlierEjection::recordFailure(const OutlierCandidate &target, TimePoint requestedAt, TimePoint now)
{
    ++m_counters.failures;
    Service &service = serviceOf(target.service);
    service.answers.add(1, now);
    service.failures.add(1, now);
    updateService(target.service, now);
    State &state = stateOf(target);
    ++state.unreported;
    state.unreportedAt = now;
    state.changedAt = now;
    // The outcome of a request from before the end of an ejection says nothing about the time since.
    if (state.isEjected && requestedAt < state.ejectedUntil) {
        addObservation(target, state, {std::min(now, state.ejectedUntil - Duration(1)), 0, 1}, now);
        return;
    }
    const bool isFailedTrial = state.isEjected && !service.isFailing;
    state.trialAt = TimePoint{};
    addObservation(target, state, {now, 0, 1}, now);
    if (isFailedTrial && stage(target.key, now) == EjectionStage::Probation) {
        eject(target.key, state, now);
    }
}

void OutlierEjection::recordReport(
    const OutlierCandidate &target, std::uint64_t reporter, const TargetFailures &failures, TimePoint now)
{
    if (failures.age >= FailureLifetime || failures.age < Duration::zero() || failures.count == 0) {
        ++m_counters.outdatedReports;
        return;
    }
    const std::uint32_t count = std::min(failures.count, MaximumReportedCount);
    m_counters.peerFailures += count;
    const TimePoint at = now - failures.age;
    State &state = stateOf(target);
    addObservation(target, state, {at, reporter, count}, now);
}

/// Adds failures to those of a target, and ejects it if they suffice.
void OutlierEjection::addObservation(
    const OutlierCandidate &target, State &state, const Observation &observation, TimePoint now)
{
    std::erase_if(state.observations,
        [now](const Observation &earlier) { return now - earlier.at >= FailureLifetime; });
    if (state.observations.size() >= MaximumObservations) {
        state.observations.erase(state.observations.begin());
    }
    state.observations.push_back(observation);
    state.changedAt = now;
    considerEjection(target, state, now);
}

/// Returns the recent failures at the other targets. The peer that reports the most of them is left out: it
/// may be wrong, and in a common failure no single peer matters.
OutlierEjection::Background OutlierEjection::backgroundOf(const OutlierCandidate &target, TimePoint now) const
{
    std::map<std::uint64_t, std::uint32_t> failuresByReporter;
    std::map<std::uint64_t, std::set<std::uint64_t>> reportersByTarget;
    for (const auto &[key, state] : m_states) {
        if (key == target.key || state.service != target.service || state.dataCentre != target.dataCentre) {
            continue;
        }
        for (const Observation &observation : state.observations) {
            if (now - observation.at < FailureLifetime) {
                failuresByReporter[observation.reporter] += observation.count;
                reportersByTarget[key].insert(observation.reporter);
            }
        }
    }
    std::uint64_t loudest = 0;
    std::uint32_t most = 0;
    Background background;
    for (const auto &[reporter, failures] : failuresByReporter) {
        background.failures += failures;
        if (reporter != 0 && failures > most) {
            loudest = reporter;
            most = failures;
        }
    }
    background.failures -= most;
    for (const auto &[key, reporters] : reportersByTarget) {
        const bool isOnlyLoudest = reporters.size() == 1 && loudest != 0 && reporters.contains(loudest);
        background.targets += isOnlyLoudest ? 0 : 1;
    }
    return background;
}

void OutlierEjection::considerEjection(const OutlierCandidate &target, State &state, TimePoint now)
{
    if (stage(target.key, now) == EjectionStage::Ejected || isServiceFailing(target.service, now)) {
        return;
    }
    std::uint32_t failures = 0;
    std::set<std::uint64_t> reporters;
    for (const Observation &observation : state.observations) {
        if (observation.at >= state.countedFrom) {
            failures += observation.count;
            reporters.insert(observation.reporter);
        }
    }
    const bool isCorroborated = reporters.contains(0) || reporters.size() >= 2;
    if (!isCorroborated || failures < MinimumFailures) {
        return;
    }
    const auto targets = static_cast<double>(target.dataCentreTargets);
    const Background background = backgroundOf(target, now);
    if (static_cast<double>(background.targets) >= std::max(CommonShare * targets, MinimumCommonTargets)) {
        liftRecentEjections(target.service, now);
        return;
    }
    const double mean = background.failures / std::max(targets - 1, 1.0);
    const bool isOnProbation = state.isEjected;
    if (failures >= 1 + MeanFactor * mean && (isOnProbation || hasRoomFor(target, now))) {
        eject(target.key, state, now);
    }
}

/// Returns whether another target of the service may be ejected.
bool OutlierEjection::hasRoomFor(const OutlierCandidate &target, TimePoint now) const
{
    const auto ejected = static_cast<double>(ejectedCount(target.service, now));
    return ejected + 1 <= MaximumEjectedShare * static_cast<double>(target.serviceTargets);
}

void OutlierEjection::eject(std::uint64_t key, State &state, TimePoint now)
{
    const bool isRepeated = state.period > Duration::zero() && now - state.ejectedUntil < PeriodMemory;
    state.period = isRepeated ? std::min(2 * state.period, LongestPeriod) : FirstPeriod;
    state.isEjected = true;
    state.ejectedAt = now;
    state.ejectedUntil = now + state.period;
    state.changedAt = now;
    state.trialAt = TimePoint{};
    EjectionEvent event{key, EjectionStage::Ejected, state.period, 0, 0};
    std::set<std::uint64_t> reporters;
    for (const Observation &observation : state.observations) {
        if (observation.at >= state.countedFrom) {
            event.failures += observation.count;
            reporters.insert(observation.reporter);
        }
    }
    event.reporters = static_cast<std::uint32_t>(reporters.size());
    state.countedFrom = state.ejectedUntil;
    ++m_counters.ejections;
    addEvent(event);
}

void OutlierEjection::readmit(std::uint64_t key, State &state, TimePoint now)
{
    state.isEjected = false;
    state.ejectedUntil = std::min(state.ejectedUntil, now);
    state.changedAt = now;
    state.trialAt = TimePoint{};
    state.countedFrom = now;
    ++m_counters.readmissions;
    addEvent({key, EjectionStage::Admitted, {}, 0, 0});
}

void OutlierEjection::addEvent(const EjectionEvent &event)
{
    if (m_events.size() < MaximumEvents) {
        m_events.push_back(event);
    }
}

void OutlierEjection::recordOpening(std::uint64_t targetKey, TimePoint now)
{
    if (const auto found = m_states.find(targetKey);
        found != m_states.end() && stage(targetKey, now) == EjectionStage::Probation) {
        found->second.trialAt = now;
        found->second.changedAt = now;
    }
}

EjectionStage OutlierEjection::stage(std::uint64_t targetKey, TimePoint now) const
{
    const auto found = m_states.find(targetKey);
    if (found == m_states.end() || !found->second.isEjected) {
        return EjectionStage::Admitted;
    }
    return now < found->second.ejectedUntil ? EjectionStage::Ejected : EjectionStage::Probation;
}

bool OutlierEjection::isTrial(std::uint64_t targetKey, std::uint64_t flowHash, TimePoint now) const
{
    if (stage(targetKey, now) != EjectionStage::Probation) {
        return false;
    }
    const TimePoint trialAt = m_states.at(targetKey).trialAt;
    const bool isTried = trialAt != TimePoint{} && now - trialAt < TrialTimeout;
    return !isTried && hashWords(flowHash, targetKey ^ TrialSalt) % FlowsPerTrial == 0;
}

std::size_t OutlierEjection::ejectedCount(std::string_view service, TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_states.begin(), m_states.end(), [&](const auto &item) {
        return item.second.service == service && stage(item.first, now) != EjectionStage::Admitted;
    }));
}

std::vector<std::string> OutlierEjection::services() const
{
    std::vector<std::string> names;
    for (const auto &[name, service] : m_services) {
        names.push_back(name);
    }
    return names;
}

/// Returns whether a report may be sent now, and takes it from the budget.
bool OutlierEjection::mayReport(std::size_t peers, TimePoint now)
{
    const double bytes = ReportSize * static_cast<double>(std::max<std::size_t>(peers, 1));
    const double rate = std::min(MaximumReportRate, ReportBytesPerSecond / bytes);
    const double burst = std::clamp(ReportBurstBytes / bytes, MinimumReportBurst, MaximumReportRate);
    const std::chrono::duration<double> since = now - m_reportTokensAt;
    const bool isFirst = m_reportTokensAt == TimePoint{};
    m_reportTokens = isFirst ? burst : std::min(burst, m_reportTokens + rate * since.count());
    m_reportTokensAt = now;
    if (m_reportTokens < 1 || m_reports.sum(now) >= MaximumReportRate) {
        return false;
    }
    m_reportTokens -= 1;
    m_reports.add(1, now);
    return true;
}

std::vector<TargetFailures> OutlierEjection::takeReports(std::size_t peers, TimePoint now)
{
    std::vector<TargetFailures> reports;
    for (auto &[key, state] : m_states) {
        if (state.unreported == 0) {
            continue;
        }
        if (now - state.unreportedAt >= FailureLifetime || isServiceFailing(state.service, now)) {
            state.unreported = 0;
            continue;
        }
        if (reports.size() < MaximumReportedTargets) {
            reports.push_back({key, state.unreported, now - state.unreportedAt});
        }
    }
    if (reports.empty() || !mayReport(peers, now)) {
        return {};
    }
    for (const TargetFailures &report : reports) {
        m_states.at(report.targetKey).unreported = 0;
    }
    return reports;
}

void OutlierEjection::expire(TimePoint now)
{
    for (auto position = m_states.begin(); position != m_states.end();) {
        State &state = position->second;
        const TimePoint untriedSince = std::max(state.ejectedUntil, state.trialAt);
        if (state.isEjected && now - untriedSince >= UntriedLifetime) {
            readmit(position->first, state, now);
        }
        const bool isForgotten = !state.isEjected && now - state.changedAt >= PeriodMemory;
        position = isForgotten ? m_states.erase(position) : std::next(position);
    }
}

std::vector<EjectionEvent> OutlierEjection::takeEvents()
{
    return std::exchange(m_events, {});
}

} // namespace jasminequay
