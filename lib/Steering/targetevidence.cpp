#include "jasminequay/Steering/targetevidence.h"

#include "jasminequay/Support/enumnames.h"

namespace jasminequay
{

using std::chrono::milliseconds;

/// How long a target stays suspect without further evidence.
constexpr Duration SuspicionLifetime = milliseconds(1500);

/// How long a target is considered lost without further evidence before it is used again.
constexpr Duration LossLifetime = milliseconds(2500);

/// The minimum time between the starts of two probes of one target.
constexpr Duration ProbeInterval = milliseconds(500);

/// How long two stalled flows, or one that retransmitted twice, must see no progress before a target whose
/// probe timed out is considered unreachable. It is longer than the first retransmission interval of callers,
/// so that a lost packet is not sufficient.
constexpr Duration SilenceBeforeLoss = milliseconds(400);

/// How many probes in a row must have timed out before a target is considered unreachable.
constexpr unsigned SilentProbesBeforeLoss = 2;

/// How many probes in a row must have been refused before a target is considered dead, and the minimum time
/// between their starts. A full target refuses some connections, and the load of a surge changes within tens
/// of milliseconds: one refusal beside one retransmission reset the flows of targets that were serving.
constexpr unsigned RefusedProbesBeforeLoss = 3;
constexpr Duration RefusedProbeInterval = milliseconds(100);

static constexpr EnumNames<Reachability, 4> ReachabilityNames{{
    {Reachability::Unknown, "unknown"},
    {Reachability::Connected, "connected"},
    {Reachability::Refused, "refused"},
    {Reachability::Silent, "silent"},
}};

static constexpr EnumNames<TargetVerdict, 4> TargetVerdictNames{{
    {TargetVerdict::Healthy, "healthy"},
    {TargetVerdict::Suspect, "suspect"},
    {TargetVerdict::Unreachable, "unreachable"},
    {TargetVerdict::Dead, "dead"},
}};

std::string_view reachabilityName(Reachability reachability)
{
    return nameIn(ReachabilityNames, reachability);
}

std::string_view targetVerdictName(TargetVerdict verdict)
{
    return nameIn(TargetVerdictNames, verdict);
}

void TargetEvidence::recordProgress(TimePoint now)
{
    clear();
    m_progressAt = now;
}

/// Forgets the evidence, but not when the last probe started.
void TargetEvidence::clear()
{
    const TimePoint progressAt = m_progressAt;
    const TimePoint probeStartedAt = m_probeStartedAt;
    *this = TargetEvidence();
    m_progressAt = progressAt;
    m_probeStartedAt = probeStartedAt;
}

void TargetEvidence::recordSilence(TimePoint now)
{
    if (hasNoRecentSilence(now)) {
        clear();
        m_silentSince = now;
    }
    m_lastSilenceAt = now;
}

void TargetEvidence::recordRetransmission(unsigned retransmissions, TimePoint now)
{
    recordSilence(now);
    m_stalledFlows += retransmissions == 1 ? 1 : 0;
    m_repeatedlyStalledFlows += retransmissions == 2 ? 1 : 0;
}

void TargetEvidence::recordUnansweredOpening(TimePoint now)
{
    recordSilence(now);
    ++m_unansweredOpenings;
}

void TargetEvidence::recordPeerReport(TimePoint now)
{
    recordSilence(now);
    m_isPeerReported = true;
}

void TargetEvidence::recordProbe(Reachability outcome, TimePoint startedAt, TimePoint now)
{
    const bool isOutdated = startedAt <= m_progressAt && outcome != Reachability::Connected;
    if (isOutdated || outcome == Reachability::Unknown) {
        return;
    }
    m_reachability = outcome;
    m_silentProbes = outcome == Reachability::Silent ? m_silentProbes + 1 : 0;
    m_refusedProbes = outcome == Reachability::Refused ? m_refusedProbes + 1 : 0;
    m_probedAt = now;
}

bool TargetEvidence::hasNoRecentSilence(TimePoint now) const
{
    return !isSilent() || now - m_lastSilenceAt > LossLifetime;
}

bool TargetEvidence::needsProbe(TimePoint now) const
{
    const bool isUnanswered = m_stalledFlows + m_unansweredOpenings > 0 || m_isPeerReported;
    if (hasNoRecentSilence(now) || !isUnanswered) {
        return false;
    }
    const bool isConfirmingSilence
        = m_silentProbes > 0 && m_silentProbes < SilentProbesBeforeLoss && m_probedAt > m_probeStartedAt;
    const bool isConfirmingRefusal = m_refusedProbes > 0 && m_refusedProbes < RefusedProbesBeforeLoss
        && now - m_probeStartedAt >= RefusedProbeInterval;
    return m_probeStartedAt == TimePoint{} || isConfirmingSilence || isConfirmingRefusal
        || now - m_probeStartedAt >= ProbeInterval;
}

TargetVerdict TargetEvidence::verdict(TimePoint now) const
{
    if (hasNoRecentSilence(now)) {
        return TargetVerdict::Healthy;
    }
    const unsigned unanswered = m_stalledFlows + m_unansweredOpenings;
    if (m_refusedProbes >= RefusedProbesBeforeLoss && unanswered > 0) {
        return TargetVerdict::Dead;
    }
    const bool isCorroborated = m_stalledFlows >= 2 || m_repeatedlyStalledFlows > 0 || unanswered >= 3
        || (m_isPeerReported && unanswered > 0);
    const bool isLongEnough = now - m_progressAt >= SilenceBeforeLoss;
    if (m_silentProbes >= SilentProbesBeforeLoss && isCorroborated && isLongEnough) {
        return TargetVerdict::Unreachable;
    }
    const bool isFresh = now - m_lastSilenceAt <= SuspicionLifetime;
    return isFresh ? TargetVerdict::Suspect : TargetVerdict::Healthy;
}

} // namespace jasminequay
