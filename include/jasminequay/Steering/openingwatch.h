// Watches whether the opening packets that an instance sends on are answered. Uses no clock or socket.
#pragma once

#include "jasminequay/Support/timepoint.h"

namespace jasminequay
{

/// The opening packets sent to one target, or to the targets of one data centre. The packet that a caller
/// sends next shows within a round trip that its opening was answered, long before it would retransmit it.
class OpeningWatch
{
public:
    /// Records that an opening packet was sent.
    void recordOpening(TimePoint now);

    /// Records that a flow made progress there.
    void recordProgress(TimePoint now)
    {
        m_isUnanswered = false;
        m_progressAt = now;
    }

    /// Returns whether an opening has had no answer for `patience`, and nothing has made progress since.
    [[nodiscard]] bool isOverdue(Duration patience, TimePoint now) const;

    /// Returns whether an opening waits for its answer where nothing has made progress recently: the first
    /// answer will show whether there is a path at all.
    [[nodiscard]] bool isProbing(TimePoint now) const;

private:
    [[nodiscard]] bool isUnanswered(TimePoint now) const;

    bool m_isUnanswered = false;
    TimePoint m_unansweredSince; ///< When the oldest opening since the last progress was sent.
    TimePoint m_progressAt;
};

/// Estimates how long the answers to opening packets take, and from that how long to wait for one.
class OpeningPatience
{
public:
    /// Records that an opening packet was answered after `time`.
    void recordAnswer(Duration time);

    /// Returns how long an answer may take.
    [[nodiscard]] Duration value() const;

private:
    Duration m_meanTime{};
};

} // namespace jasminequay
