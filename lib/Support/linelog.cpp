#include "jasminequay/Support/linelog.h"

#include "jasminequay/Support/enumnames.h"

#include <poll.h>
#include <unistd.h>

#include <utility>

namespace jasminequay
{

static constexpr EnumNames<Severity, 3> SeverityNames{{
    {Severity::Info, "info"},
    {Severity::Warning, "warning"},
    {Severity::Error, "error"},
}};

/// How often the counts of lines that were left out are written.
constexpr Duration SummaryInterval = std::chrono::seconds(5);

/// A pipe takes this much at once without blocking when it polls as writable (POSIX's PIPE_BUF).
constexpr std::size_t WriteSize = 4096;

LineLog::LineLog(int descriptor, Severity least, LineLogLimits limits)
    : m_descriptor(descriptor)
    , m_least(least)
    , m_limits(limits)
{
}

/// Writes "2026-12-04T07:51:55.123Z".
static std::string formatWallTime(std::int64_t wallMilliseconds)
{
    const std::time_t seconds = wallMilliseconds / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[40];
    const std::size_t size = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text + size, sizeof text - size, ".%03dZ", static_cast<int>(wallMilliseconds % 1000));
    return text;
}

void LineLog::append(
    std::string_view level, const std::string &pairs, TimePoint now, std::int64_t wallMilliseconds)
{
    const auto bootMs = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    ++m_sequence;
    m_backlog.append("time=").append(formatWallTime(wallMilliseconds));
    m_backlog.append(" boot_ms=").append(std::to_string(bootMs));
    m_backlog.append(" line=").append(std::to_string(m_sequence));
    m_backlog.append(" level=").append(level).append(" ").append(pairs).append("\n");
}

void LineLog::take(Severity severity, std::string_view event, const std::string &pairs, TimePoint now,
    std::int64_t wallMilliseconds)
{
    if (severity < m_least) {
        return;
    }
    auto kind = m_kinds.find(event);
    if (kind == m_kinds.end()) {
        const TokenBucket budget(m_limits.linesPerSecond, m_limits.burst, now);
        kind = m_kinds.emplace(std::string(event), Kind{budget, 0}).first;
    }
    const bool hasRoom = m_backlog.size() + pairs.size() < m_limits.backlogBytes;
    if (!hasRoom || !kind->second.budget.take(1, now)) {
        ++kind->second.leftOut;
        ++m_leftOutTotal;
        return;
    }
    append(nameIn(SeverityNames, severity), pairs, now, wallMilliseconds);
}

void LineLog::flush(TimePoint now, std::int64_t wallMilliseconds)
{
    write();
    // A reader that stalls gets the counts once it has made room.
    if (now - m_summarizedAt < SummaryInterval || m_backlog.size() >= m_limits.backlogBytes / 2) {
        return;
    }
    m_summarizedAt = now;
    for (auto &[event, kind] : m_kinds) {
        if (kind.leftOut > 0) {
            std::string pairs = "event=lines-left-out of=" + event;
            pairs.append(" count=").append(std::to_string(std::exchange(kind.leftOut, 0)));
            append("info", pairs, now, wallMilliseconds);
        }
    }
    write();
}

void LineLog::write()
{
    std::size_t written = 0;
    while (written < m_backlog.size()) {
        // The descriptor may be shared with others, so it is not made non-blocking.
        pollfd ready{m_descriptor, POLLOUT, 0};
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
            break;
        }
        const std::size_t size = std::min(m_backlog.size() - written, WriteSize);
        const ssize_t count = ::write(m_descriptor, m_backlog.data() + written, size);
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    m_backlog.erase(0, written);
}

} // namespace jasminequay
