#include "jasminequay/Support/logevent.h"

#include <glog/logging.h>

namespace jasminequay
{

/// The longest value in a log line, in bytes: texts from outside must not choose the size of a line.
constexpr std::size_t MaximumValueSize = 1000;

static bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \t\r\n\"=\\") != std::string_view::npos;
}

std::string quotedValue(std::string_view value)
{
    if (!needsQuotes(value)) {
        return std::string(value);
    }
    std::string quoted = "\"";
    for (const char character : value) {
        if (character == '\n') {
            quoted += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            quoted += '\\';
        }
        quoted += character;
    }
    return quoted + '"';
}

static LogSink &installedSink()
{
    static LogSink sink;
    return sink;
}

void setLogSink(LogSink sink)
{
    installedSink() = std::move(sink);
}

LogEvent::LogEvent(Severity severity, std::string_view event)
    : m_severity(severity)
    , m_event(event)
    , m_line("event=" + quotedValue(event))
{
}

LogEvent::~LogEvent()
{
    if (const LogSink &sink = installedSink()) {
        sink(m_severity, m_event, m_line);
        return;
    }
    switch (m_severity) {
    case Severity::Info:
        LOG(INFO) << m_line;
        break;
    case Severity::Warning:
        LOG(WARNING) << m_line;
        break;
    case Severity::Error:
        LOG(ERROR) << m_line;
        break;
    }
}

LogEvent &LogEvent::with(std::string_view key, std::string_view value)
{
    m_line += ' ';
    m_line += key;
    m_line += '=';
    m_line += quotedValue(value.substr(0, MaximumValueSize));
    if (value.size() > MaximumValueSize) {
        m_line += "...";
    }
    return *this;
}

} // namespace jasminequay
