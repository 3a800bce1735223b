#include "jasminequay/Steering/targetevidence.h"

#include "jasminequay/Support/enumnames.h"

namespace jasminequay
{

using std::chrono::milliseconds;

/// How long a suspicion keeps new flows away without further evidence.
constexpr Duration SuspicionLifetime = milliseconds(1500);

/// How long a loss is believed before the target is tried again.
constexpr Duration LossLifetime = milliseconds(2500);

/// The pause between two probes of one target.
constexpr Duration ProbeInterval = milliseconds(500);

/// Two flows, or one that repeats twice, must see nothing for this long before a silent target is given up:
/// longer than the first interval of repeats, so that a lost packet is not enough.
constexpr Duration SilenceBeforeLoss = milliseconds(400);

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

void TargetEvidence::noteProgress(TimePoint now)
{
    const TimePoint probeStartedAt = m_probeStartedAt;
    *this = TargetEvidence();
    m_probeStartedAt = probeStartedAt;
    m_progressAt = now;
}

void TargetEvidence::beginSilence(TimePoint now)
{
    if (!isSilent()) {
        m_silentSince = now;
    }
    m_lastSilenceAt = now;
}

void TargetEvidence::noteRepeat(unsigned repeats, TimePoint now)
{
    beginSilence(now);
    m_stalledFlows += repeats == 1 ? 1 : 0;
    m_stubbornFlows += repeats == 2 ? 1 : 0;
}

void TargetEvidence::noteUnansweredOpening(TimePoint now)
{
    beginSilence(now);
    ++m_unansweredOpenings;
}

void TargetEvidence::notePeerReport(TimePoint now)
{
    beginSilence(now);
    m_isPeerReported = true;
}

void TargetEvidence::noteProbe(Reachability outcome, TimePoint startedAt, TimePoint now)
{
    const bool isOutdated = startedAt <= m_progressAt && outcome != Reachability::Connected;
    if (isOutdated || outcome == Reachability::Unknown) {
        return;
    }
    m_reachability = outcome;
    m_probedAt = now;
}

bool TargetEvidence::isQuiet(TimePoint now) const
{
    return !isSilent() || now - m_lastSilenceAt > LossLifetime;
}

bool TargetEvidence::wantsProbe(TimePoint now) const
{
    const bool isUnanswered = m_stalledFlows + m_unansweredOpenings > 0 || m_isPeerReported;
    if (isQuiet(now) || !isUnanswered) {
        return false;
    }
    return m_probeStartedAt == TimePoint{} || now - m_probeStartedAt >= ProbeInterval;
}

TargetVerdict TargetEvidence::verdict(TimePoint now) const
{
    if (isQuiet(now)) {
        return TargetVerdict::Healthy;
    }
    const unsigned unanswered = m_stalledFlows + m_unansweredOpenings;
    if (m_reachability == Reachability::Refused && unanswered > 0) {
        return TargetVerdict::Dead;
    }
    const bool isCorroborated = m_stalledFlows >= 2 || m_stubbornFlows > 0 || unanswered >= 3
        || (m_isPeerReported && unanswered > 0);
    const bool isLongEnough = now - m_progressAt >= SilenceBeforeLoss;
    if (m_reachability == Reachability::Silent && isCorroborated && isLongEnough) {
        return TargetVerdict::Unreachable;
    }
    const bool isFresh = now - m_lastSilenceAt <= SuspicionLifetime;
    return isFresh ? TargetVerdict::Suspect : TargetVerdict::Healthy;
}

} // namespace jasminequay
