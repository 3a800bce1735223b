#include "jasminequay/Steering/expectedtime.h"

#include "jasminequay/Support/hash.h"

#include <algorithm>
#include <cmath>

namespace jasminequay
{

/// Recent times of targets below this multiple of the usual time are equal: the times of single requests vary
/// by as much.
constexpr double SignificantTime = 2.5;

/// The same for data centres, of which more answers are seen.
constexpr double SignificantDataCentreTime = 2;

/// What a failed answer counts for, relative to the usual time: a target refuses requests when its queue is
/// several times as long.
constexpr double FailureTime = 8;

/// How often the share of flows that leave their data centre is adapted, and its steps. It grows faster the
/// more the times differ. Some flows always stay, as their answers show when the data centre recovers.
constexpr Duration SpillInterval = std::chrono::milliseconds(100);
constexpr double SpillStep = 0.03;
constexpr double MaximumSpillStep = 0.1;
constexpr double MaximumSpillShare = 0.95;

/// Makes the selection of these flows independent of other uses of their hash.
constexpr std::uint64_t SpillSalt = 0x7370'696c'6c00'0000;

/// The part of a request that an open flow without one counts for.
constexpr double IdleFlowWeight = 0.1;

/// The weight of one answer in the recent time of a data centre.
constexpr double DataCentreAnswerWeight = 0.1;

/// The network delay of a data centre that has not answered yet, and the least one of other data centres.
/// The least one keeps work in its own data centre where the delay cannot be told from the variation of its
/// measurement.
constexpr double UnknownDelay = 0.02;
constexpr double MinimumRemoteDelay = 0.001;

/// The usual time of a route is the plain mean of this many answers at first.
constexpr std::uint32_t FirstAnswers = 50;

/// Later ones move it by this part of their distance, of which at most a factor of two counts. A surge of
/// some seconds must not become usual.
constexpr double UsualTimeWeight = 1.0 / 2000;

constexpr std::chrono::duration<double> MinimumAnswerTime{1e-4};

void UsualTime::record(Duration time)
{
    const std::chrono::duration<double> bounded
        = std::max<std::chrono::duration<double>>(time, MinimumAnswerTime);
    const double distance = std::log(bounded.count()) - m_meanLogarithm;
    if (m_count < FirstAnswers) {
        ++m_count;
        m_meanLogarithm += distance / m_count;
        return;
    }
    m_meanLogarithm += UsualTimeWeight * std::clamp(distance, -std::log(2.0), std::log(2.0));
}

double UsualTime::seconds() const
{
    return m_count == 0 ? 0 : std::exp(m_meanLogarithm);
}

void NetworkDelay::record(Duration time)
{
    constexpr double DecreaseWeight = 0.25;
    constexpr double IncreaseWeight = 1.0 / 64;
    const double sample = std::chrono::duration<double>(time).count();
    if (!m_isKnown) {
        m_isKnown = true;
        m_seconds = sample;
        return;
    }
    m_seconds += (sample < m_seconds ? DecreaseWeight : IncreaseWeight) * (sample - m_seconds);
}

void ExpectedTimes::record(double relativeTime, KnownTarget &target, TimePoint now)
{
    target.recentTime.record(relativeTime, now);
    m_recentTimes
        .try_emplace({target.record.service, target.record.dataCentre}, RecentTime(DataCentreAnswerWeight))
        .first->second.record(relativeTime, now);
}

void ExpectedTimes::recordAnswer(Endpoint route, KnownTarget &target, Duration time, TimePoint now)
{
    UsualTime &usual = m_usualTimes[route];
    usual.record(time);
    record(std::chrono::duration<double>(time).count() / usual.seconds(), target, now);
}

void ExpectedTimes::recordOverdue(Endpoint route, KnownTarget &target, Duration time, TimePoint now)
{
    const auto usual = m_usualTimes.find(route);
    if (usual != m_usualTimes.end()) {
        record(std::chrono::duration<double>(time).count() / usual->second.seconds(), target, now);
    }
}

void ExpectedTimes::recordFailure(KnownTarget &target, TimePoint now)
{
    record(FailureTime, target, now);
}

void ExpectedTimes::recordOpening(const std::string &dataCentre, Duration time)
{
    m_delays[dataCentre].record(time);
}

/// Returns the recent answer time of the data centre of a target.
double ExpectedTimes::dataCentreTime(const KnownTarget &target, TimePoint now) const
{
    const auto found = m_recentTimes.find(std::pair(target.record.service, target.record.dataCentre));
    return found == m_recentTimes.end() ? 1 : found->second.value(1, now);
}

void SpillShare::update(double localTime, double remoteTime, TimePoint now)
{
    if (m_updatedAt != TimePoint{} && now - m_updatedAt < SpillInterval) {
        return;
    }
    m_updatedAt = now;
    const bool isRemoteBetter = remoteTime < localTime;
    const double step
        = isRemoteBetter ? std::min(SpillStep * localTime / remoteTime, MaximumSpillStep) : -SpillStep;
    m_share = std::clamp(m_share + step, 0.0, MaximumSpillShare);
}

double ExpectedTimes::networkDelay(std::string_view own, std::string_view dataCentre) const
{
    if (dataCentre == own) {
        return 0;
    }
    const auto remote = m_delays.find(dataCentre);
    const auto local = m_delays.find(own);
    if (remote == m_delays.end() || local == m_delays.end()) {
        return UnknownDelay;
    }
    return std::max(remote->second.seconds() - local->second.seconds(), MinimumRemoteDelay);
}

static double loadOf(const KnownTarget &target, TimePoint now)
{
    const double requests = target.pace.inFlight();
    const double flows = target.openFlows - std::min(target.endedFlows, target.openFlows);
    return (IdleFlowWeight * (flows + 1) + (1 - IdleFlowWeight) * requests)
        / usableSlots(target, now < target.warmUpEndsAt);
}

/// Returns the best target of each data centre. The load decides only within a data centre: single requests
/// and idle flows, which vary between targets, must not move work to another one.
ExpectedTimes::Candidates ExpectedTimes::bestByDataCentre(
    const std::vector<KnownTarget *> &targets, const ExpectedTimeRequest &request, TimePoint now) const
{
    Candidates candidates;
    for (KnownTarget *const target : targets) {
        const auto [position, isNew] = candidates.try_emplace(target->record.dataCentre);
        Candidate &best = position->second;
        if (isNew) {
            best.recentTime = dataCentreTime(*target, now);
        }
        best.inFlight += target->pace.inFlight();
        best.slots += target->record.slots;
        const double recentTime = std::max(target->recentTime.value(best.recentTime, now), SignificantTime);
        const double time = recentTime * (1 + loadOf(*target, now));
        const bool isBetter = best.target == nullptr || time < best.time
            || (time == best.time && isPreferredTie(*target, *best.target, request.flowHash));
        if (isBetter) {
            best.target = target;
            best.time = time;
        }
    }
    return candidates;
}

/// Returns the wait for this instance's own requests at a remote data centre, relative to the usual time. The
/// other instances are assumed to have as many there. It keeps the instances from moving all their work at
/// once; in the own data centre the answer times show the queue.
double ExpectedTimes::remoteWait(const Candidate &candidate, const ExpectedTimeRequest &request) const
{
    if (candidate.target->record.dataCentre == request.dataCentre) {
        return 0;
    }
    const double shareOfSlots = std::max(
        candidate.slots / static_cast<double>(std::max<std::size_t>(request.allInstances, 1)), 1.0);
    return std::max(candidate.inFlight / shareOfSlots - 1, 0.0);
}

/// Returns the expected time in seconds of a request at a data centre.
double ExpectedTimes::expectedTime(
    std::string_view dataCentre, const Candidate &candidate, const ExpectedTimeRequest &request) const
{
    const auto usual = m_usualTimes.find(request.route);
    const double usualTime = usual == m_usualTimes.end() ? 0 : usual->second.seconds();
    const double relativeTime = std::max(candidate.recentTime, SignificantDataCentreTime);
    return usualTime * (relativeTime + remoteWait(candidate, request))
        + networkDelay(request.dataCentre, dataCentre);
}

KnownTarget *ExpectedTimes::choose(
    const std::vector<KnownTarget *> &targets, const ExpectedTimeRequest &request, TimePoint now)
{
    const Candidates candidates = bestByDataCentre(targets, request, now);
    KnownTarget *remote = nullptr;
    double remoteTime = 0;
    for (const auto &[dataCentre, candidate] : candidates) {
        const double time = expectedTime(dataCentre, candidate, request);
        const bool isBetter = remote == nullptr || time < remoteTime
            || (time == remoteTime && isPreferredTie(*candidate.target, *remote, request.flowHash));
        if (dataCentre != request.dataCentre && isBetter) {
            remote = candidate.target;
            remoteTime = time;
        }
    }
    const auto local = candidates.find(request.dataCentre);
    if (local == candidates.end() || remote == nullptr) {
        return local == candidates.end() ? remote : local->second.target;
    }
    SpillShare &share = m_spillShares[remote->record.service];
    share.update(expectedTime(local->first, local->second, request), remoteTime, now);
    constexpr std::uint64_t Parts = 1000;
    const auto part = static_cast<double>(hashWords(request.flowHash, SpillSalt) % Parts);
    return part < share.value() * Parts ? remote : local->second.target;
}

} // namespace jasminequay
