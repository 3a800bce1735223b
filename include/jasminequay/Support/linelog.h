// A log on a file descriptor that never blocks and whose volume is bounded.
#pragma once

#include "jasminequay/Support/logevent.h"
#include "jasminequay/Support/timepoint.h"
#include "jasminequay/Support/tokenbucket.h"

#include <map>
#include <string>

namespace jasminequay
{

/// The bounds of a log.
struct LineLogLimits {
    double linesPerSecond = 20; ///< For each kind of event, on average.
    double burst = 60; ///< Lines of one kind that may come at once.
    std::size_t backlogBytes = 64 << 10; ///< What waits for a slow reader.
};

/// Writes lines as "time=... boot_ms=... level=... event=... key=value". Lines over the budget of their kind,
/// or for which a slow reader leaves no room, are counted and left out; a line then says how many. One thread
/// uses it.
class LineLog
{
public:
    LineLog(int descriptor, Severity least, LineLogLimits limits);

    /// Takes an event. `now` is on the boot clock, `wallMilliseconds` the time of day since 1970.
    void take(Severity severity, std::string_view event, const std::string &pairs, TimePoint now,
        std::int64_t wallMilliseconds);

    /// Writes what the descriptor takes, and the counts of lines that were left out.
    void flush(TimePoint now, std::int64_t wallMilliseconds);

    /// Returns the number of lines that were left out so far.
    [[nodiscard]] std::uint64_t leftOut() const
    {
        return m_leftOutTotal;
    }

private:
    struct Kind {
        TokenBucket budget;
        std::uint64_t leftOut = 0;
    };

    void append(
        std::string_view level, const std::string &pairs, TimePoint now, std::int64_t wallMilliseconds);
    void write();

    int m_descriptor;
    Severity m_least;
    LineLogLimits m_limits;
    std::map<std::string, Kind, std::less<>> m_kinds;
    std::string m_backlog;
    std::uint64_t m_leftOutTotal = 0;
    std::uint64_t m_sequence = 0;
    TimePoint m_summarizedAt;
};

} // namespace jasminequay
