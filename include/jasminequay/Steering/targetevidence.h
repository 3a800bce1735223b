// The evidence of one instance about the reachability of a target. Uses no clock or socket.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <string_view>

namespace jasminequay
{

/// The outcome of an attempt to connect to a target.
enum class Reachability : std::uint8_t {
    Unknown,
    Connected, ///< A process listens at the address.
    Refused, ///< The machine answers, but no process listens at the address.
    Silent, ///< Nothing answered within the probe timeout.
};

std::string_view reachabilityName(Reachability reachability);

/// The conclusion from the evidence about a target.
enum class TargetVerdict : std::uint8_t {
    Healthy,
    Suspect, ///< Packets were unanswered: new flows go to other targets if possible.
    Unreachable, ///< No network path: flows make no progress and connection attempts time out.
    Dead, ///< No process: flows make no progress and connections are refused.
};

std::string_view targetVerdictName(TargetVerdict verdict);

/// Collects the evidence about one target. No single source is sufficient: a target is lost only if packets
/// are unanswered, probes failed too, and no flow has made progress since. Any progress clears all evidence.
/// A probe that is not answered may have been lost on this instance's own link, as the callers' packets were,
/// so it takes another one to show that the target is unreachable. A full target refuses some connections and
/// leaves packets unanswered as a dead one does, so only several refusals in a row show that it is dead.
class TargetEvidence
{
public:
    /// Records that a caller acknowledged new data of the target, or opened a flow at it.
    void recordProgress(TimePoint now);

    /// Records that a caller retransmitted data; `retransmissions` is the number of times it did so for this
    /// data.
    void recordRetransmission(unsigned retransmissions, TimePoint now);

    /// Records that a caller retransmitted an opening packet that had been sent to the target.
    void recordUnansweredOpening(TimePoint now);

    /// Records that a peer considers the target lost.
    void recordPeerReport(TimePoint now);

    /// Records the outcome of a probe that started at `startedAt`.
    void recordProbe(Reachability outcome, TimePoint startedAt, TimePoint now);

    /// Returns whether a probe is needed to reach a verdict; the caller then starts one.
    [[nodiscard]] bool needsProbe(TimePoint now) const;

    /// Records that a probe was started.
    void recordProbeStarted(TimePoint now)
    {
        m_probeStartedAt = now;
    }

    /// Returns whether there is no recent evidence against the target.
    [[nodiscard]] bool hasNoRecentSilence(TimePoint now) const;

    /// Returns the conclusion from the evidence.
    [[nodiscard]] TargetVerdict verdict(TimePoint now) const;

    /// Returns whether the target is considered dead or unreachable.
    [[nodiscard]] bool isLost(TimePoint now) const
    {
        const TargetVerdict found = verdict(now);
        return found == TargetVerdict::Dead || found == TargetVerdict::Unreachable;
    }

    /// Returns when the first unanswered packet since the last progress was seen; the epoch if there was
    /// none.
    [[nodiscard]] TimePoint silentSince() const
    {
        return m_silentSince;
    }

    [[nodiscard]] TimePoint progressAt() const
    {
        return m_progressAt;
    }

    [[nodiscard]] Reachability reachability() const
    {
        return m_reachability;
    }

    [[nodiscard]] unsigned stalledFlows() const
    {
        return m_stalledFlows;
    }

private:
    [[nodiscard]] bool isSilent() const
    {
        return m_silentSince > m_progressAt;
    }
    void clear();
    void recordSilence(TimePoint now);

    TimePoint m_progressAt = TimePoint{};
    TimePoint m_silentSince = TimePoint{};
    TimePoint m_lastSilenceAt = TimePoint{};
    unsigned m_stalledFlows = 0; ///< Flows that retransmitted data since the last progress.
    unsigned m_repeatedlyStalledFlows = 0; ///< Those that did so more than once.
    unsigned m_unansweredOpenings = 0;
    bool m_isPeerReported = false;
    Reachability m_reachability = Reachability::Unknown;
    unsigned m_silentProbes = 0; ///< Probes in a row that nothing answered.
    unsigned m_refusedProbes = 0; ///< Probes in a row that were refused.
    TimePoint m_probeStartedAt = TimePoint{};
    TimePoint m_probedAt = TimePoint{};
};

} // namespace jasminequay
