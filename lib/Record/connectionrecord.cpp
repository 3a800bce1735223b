#include "jasminequay/Record/connectionrecord.h"

#include "jasminequay/Support/enumnames.h"
#include "jasminequay/Support/logevent.h"
#include "jasminequay/Support/units.h"

#include <limits>
#include <map>

namespace jasminequay
{

static constexpr EnumNames<RecordKind, 3> RecordKindNames{
    {{RecordKind::Start, "start"}, {RecordKind::Flow, "flow"}, {RecordKind::Stop, "stop"}}};

using Fields = std::map<std::string, std::string, std::less<>>;

std::string_view recordKindName(RecordKind kind)
{
    return nameIn(RecordKindNames, kind);
}

static void addField(std::string &line, std::string_view key, std::string_view value)
{
    line += ' ';
    line += key;
    line += '=';
    line += quotedValue(value);
}

static void addField(std::string &line, std::string_view key, std::uint64_t value)
{
    addField(line, key, std::string_view(std::to_string(value)));
}

std::string formatRecord(const ConnectionRecord &record)
{
    std::string line = "record=" + std::string(recordKindName(record.kind));
    addField(line, "instance", record.instance);
    addField(line, "incarnation", record.incarnation);
    addField(line, "sequence", record.sequence);
    addField(line, "at", static_cast<std::uint64_t>(record.at));
    if (record.kind != RecordKind::Flow) {
        return line;
    }
    const FlowRecord &flow = record.flow;
    addField(line, "caller", format(flow.flow.caller));
    addField(line, "address", format(flow.flow.service));
    addField(line, "protocol", protocolName(flow.flow.protocol));
    addField(line, "service", flow.service);
    addField(line, "division", flow.division);
    addField(line, "target", format(flow.target));
    addField(line, "cause", endCauseName(flow.cause));
    addField(line, "owner", flow.isOwner ? "true" : "false");
    addField(line, "bytes-up", std::uint64_t{flow.bytesUp});
    addField(line, "bytes-down", std::uint64_t{flow.bytesDown});
    addField(line, "packets-up", std::uint64_t{flow.packetsUp});
    addField(line, "packets-down", std::uint64_t{flow.packetsDown});
    addField(line, "first-answer-us", static_cast<std::uint64_t>(flow.firstAnswer.count() / 1000));
    return line;
}

/// Splits a line into its pairs; returns false where it is not a line of pairs.
static bool splitFields(std::string_view line, Fields &fields)
{
    std::size_t position = 0;
    while (position < line.size()) {
        const std::size_t equals = line.find('=', position);
        if (equals == std::string_view::npos) {
            return false;
        }
        const std::string key(line.substr(position, equals - position));
        std::string value;
        position = equals + 1;
        const bool isQuoted = position < line.size() && line[position] == '"';
        position += isQuoted ? 1 : 0;
        const char end = isQuoted ? '"' : ' ';
        while (position < line.size() && line[position] != end) {
            position += isQuoted && line[position] == '\\' ? 1 : 0;
            if (position < line.size()) {
                value += line[position++];
            }
        }
        if (isQuoted && position >= line.size()) {
            return false;
        }
        position += isQuoted ? 2 : 1;
        if (!fields.emplace(key, value).second) {
            return false;
        }
    }
    return true;
}

namespace
{

/// Takes typed fields out of a line and remembers the first that is missing or wrong.
class FieldReader
{
public:
    FieldReader(const Fields &fields, std::string &reason)
        : m_fields(fields)
        , m_reason(reason)
    {
    }

    template <typename Value, typename Parser> void read(std::string_view key, Parser parser, Value &value)
    {
        const auto found = m_fields.find(key);
        if (found == m_fields.end()) {
            note("the field '" + std::string(key) + "' is missing");
            return;
        }
        if (const auto parsed = parser(found->second)) {
            value = static_cast<Value>(*parsed);
            return;
        }
        note("the field '" + std::string(key) + "' has the wrong value '" + found->second + "'");
    }

private:
    void note(std::string reason)
    {
        if (m_reason.empty()) {
            m_reason = std::move(reason);
        }
    }

    const Fields &m_fields;
    std::string &m_reason;
};

} // namespace

static std::optional<std::uint64_t> parseCounter(std::string_view text)
{
    const std::optional<std::uint64_t> number = parseNumber(text);
    return number && *number <= std::numeric_limits<std::uint32_t>::max() ? number : std::nullopt;
}

static std::optional<std::string> parseText(std::string_view text)
{
    return std::string(text);
}

/// A refused flow has no target: its address prints as zeros.
static std::optional<Endpoint> parseTarget(std::string_view text)
{
    return text == "0.0.0.0:0" ? std::optional(Endpoint{}) : parseEndpoint(text);
}

static std::optional<bool> parseBoolean(std::string_view text)
{
    if (text != "true" && text != "false") {
        return std::nullopt;
    }
    return text == "true";
}

static void readFlow(FieldReader &reader, FlowRecord &flow)
{
    std::uint64_t firstAnswer = 0;
    reader.read("caller", parseEndpoint, flow.flow.caller);
    reader.read("address", parseEndpoint, flow.flow.service);
    reader.read("protocol", protocolNamed, flow.flow.protocol);
    reader.read("service", parseText, flow.service);
    reader.read("division", parseText, flow.division);
    reader.read("target", parseTarget, flow.target);
    reader.read("cause", endCauseNamed, flow.cause);
    reader.read("owner", parseBoolean, flow.isOwner);
    reader.read("bytes-up", parseCounter, flow.bytesUp);
    reader.read("bytes-down", parseCounter, flow.bytesDown);
    reader.read("packets-up", parseCounter, flow.packetsUp);
    reader.read("packets-down", parseCounter, flow.packetsDown);
    reader.read("first-answer-us", parseNumber, firstAnswer);
    flow.firstAnswer = std::chrono::microseconds(firstAnswer);
}

std::optional<ConnectionRecord> parseRecord(std::string_view line, std::string &reason)
{
    Fields fields;
    reason.clear();
    if (!splitFields(line, fields)) {
        reason = "not a line of key=value pairs";
        return std::nullopt;
    }
    ConnectionRecord record;
    FieldReader reader(fields, reason);
    reader.read(
        "record", [](std::string_view name) { return valueIn(RecordKindNames, name); }, record.kind);
    reader.read("instance", parseText, record.instance);
    reader.read("incarnation", parseNumber, record.incarnation);
    reader.read("sequence", parseNumber, record.sequence);
    reader.read("at", parseNumber, record.at);
    if (record.kind == RecordKind::Flow) {
        readFlow(reader, record.flow);
    }
    return reason.empty() ? std::optional(std::move(record)) : std::nullopt;
}

} // namespace jasminequay
