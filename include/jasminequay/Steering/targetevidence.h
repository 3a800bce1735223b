// What an instance has seen of one target, and what follows from it. No clock or socket.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <string_view>

namespace jasminequay
{

/// The outcome of an attempt to connect to a target.
enum class Reachability : std::uint8_t {
    Unknown,
    Connected, ///< A process listens there.
    Refused, ///< The machine answers, but no process listens there.
    Silent, ///< Nothing answered within the probe timeout.
};

std::string_view reachabilityName(Reachability reachability);

/// What is believed of a target.
enum class TargetVerdict : std::uint8_t {
    Healthy,
    Suspect, ///< Something went unanswered: new flows go elsewhere where they can.
    Unreachable, ///< No path from here: nothing moves and connections hang.
    Dead, ///< No process: nothing moves and connections are refused.
};

std::string_view targetVerdictName(TargetVerdict verdict);

/// Collects the evidence about one target. No single source decides: a loss needs silence on flows, and a
/// probe that agrees, with nothing that moved since. Any progress clears everything.
class TargetEvidence
{
public:
    /// A caller acknowledged new data of the target, or opened a flow at it.
    void noteProgress(TimePoint now);

    /// A caller repeated data; `repeats` counts the repeats of this data.
    void noteRepeat(unsigned repeats, TimePoint now);

    /// A caller repeated its opening packet that had gone to the target.
    void noteUnansweredOpening(TimePoint now);

    /// A peer believes that the target is lost.
    void notePeerReport(TimePoint now);

    /// Takes the outcome of a probe that began at `startedAt`.
    void noteProbe(Reachability outcome, TimePoint startedAt, TimePoint now);

    /// Tells whether a probe would help to decide now; the caller then starts one.
    [[nodiscard]] bool wantsProbe(TimePoint now) const;

    /// Remembers that a probe was started.
    void noteProbeStarted(TimePoint now)
    {
        m_probeStartedAt = now;
    }

    /// Tells whether nothing that was seen says anything against the target now.
    [[nodiscard]] bool isQuiet(TimePoint now) const;

    /// Returns what the evidence amounts to.
    [[nodiscard]] TargetVerdict verdict(TimePoint now) const;

    /// Tells whether the target is believed to be dead or out of reach.
    [[nodiscard]] bool isLost(TimePoint now) const
    {
        const TargetVerdict found = verdict(now);
        return found == TargetVerdict::Dead || found == TargetVerdict::Unreachable;
    }

    /// Returns when the first unanswered packet since the last progress was seen; the start of time if none.
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
    void beginSilence(TimePoint now);

    TimePoint m_progressAt = TimePoint{};
    TimePoint m_silentSince = TimePoint{};
    TimePoint m_lastSilenceAt = TimePoint{};
    unsigned m_stalledFlows = 0; ///< Flows that repeated data since the last progress.
    unsigned m_stubbornFlows = 0; ///< Those that repeated it more than once.
    unsigned m_unansweredOpenings = 0;
    bool m_isPeerReported = false;
    Reachability m_reachability = Reachability::Unknown;
    TimePoint m_probeStartedAt = TimePoint{};
    TimePoint m_probedAt = TimePoint{};
};

} // namespace jasminequay
