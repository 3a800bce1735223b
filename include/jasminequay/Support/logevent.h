// One structured log line for each event: key=value pairs, written through glog.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <type_traits>

namespace jasminequay
{

/// How serious an event is.
enum class Severity : std::uint8_t { Info, Warning, Error };

/// Takes the finished lines of events. `event` is the event's name, `pairs` all of the line.
using LogSink = std::function<void(Severity severity, std::string_view event, const std::string &pairs)>;

/// Sends all further events to a sink in place of glog; an empty one returns to glog. Not to be called while
/// other threads log.
void setLogSink(LogSink sink);

/// Returns the value as it stands in a key=value line: quoted and escaped when it holds a space, quote or
/// '='.
std::string quotedValue(std::string_view value);

/// Collects the pairs of one event; the destructor writes the line.
class LogEvent
{
public:
    LogEvent(Severity severity, std::string_view event);
    ~LogEvent();
    LogEvent(const LogEvent &) = delete;
    LogEvent &operator=(const LogEvent &) = delete;

    /// Adds a pair with a text value; only the first part of a very long one is written.
    LogEvent &with(std::string_view key, std::string_view value);

    /// Adds a pair with a number.
    template <typename Number>
    requires std::is_arithmetic_v<Number> LogEvent &with(std::string_view key, Number value)
    {
        return with(key, std::string_view(std::to_string(value)));
    }

private:
    Severity m_severity;
    std::string m_event;
    std::string m_line;
};

} // namespace jasminequay
