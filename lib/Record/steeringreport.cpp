#include "jasminequay/Record/steeringreport.h"

#include "jasminequay/Support/units.h"
#include "xmltext.h"

#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <sstream>

namespace jasminequay
{

namespace json = boost::json;

/// Causes of lines about flows that go on.
static bool isServed(const std::string &cause)
{
    return cause == "placed" || cause == "placed-again" || cause == "by-memory" || cause == "by-token";
}

/// Reads a quoted value whose opening quote stands at `position`; leaves `position` behind the closing one.
static std::optional<std::string> quoted(std::string_view line, std::size_t &position)
{
    std::string value;
    for (++position; position < line.size(); ++position) {
        if (line[position] == '"') {
            ++position;
            return value;
        }
        if (line[position] == '\\' && position + 1 < line.size()) {
            ++position;
        }
        value += line[position];
    }
    return std::nullopt;
}

std::optional<LogPairs> parseLogLine(std::string_view line)
{
    LogPairs pairs;
    std::size_t position = 0;
    while (position < line.size()) {
        const std::size_t equals = line.find('=', position);
        if (equals == std::string_view::npos
            || line.substr(position, equals - position).find(' ') != std::string_view::npos) {
            return std::nullopt;
        }
        std::string key(line.substr(position, equals - position));
        position = equals + 1;
        std::string value;
        if (position < line.size() && line[position] == '"') {
            std::optional<std::string> text = quoted(line, position);
            if (!text) {
                return std::nullopt;
            }
            value = std::move(*text);
        } else {
            const std::size_t end = std::min(line.find(' ', position), line.size());
            value = line.substr(position, end - position);
            position = end;
        }
        pairs[std::move(key)] = std::move(value);
        position += position < line.size() ? 1 : 0;
    }
    return pairs.empty() ? std::nullopt : std::optional(std::move(pairs));
}

std::uint64_t ServiceDecisions::placed() const
{
    const auto found = byCause.find("placed");
    return found == byCause.end() ? 0 : found->second;
}

std::uint64_t ServiceDecisions::broken() const
{
    std::uint64_t sum = 0;
    for (const auto &[cause, count] : byCause) {
        sum += isServed(cause) ? 0 : count;
    }
    return sum;
}

Result<void> SteeringReport::readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return fail(Step::ReadRecords, path, systemMessage());
    }
    for (std::string line; std::getline(file, line);) {
        addLine(line);
    }
    return {};
}

void SteeringReport::addLine(std::string_view line)
{
    // Tools that collect logs put their own words before the line.
    const std::size_t start = line.find("time=");
    const std::optional<LogPairs> pairs
        = start == std::string_view::npos ? std::nullopt : parseLogLine(line.substr(start));
    if (!pairs || !pairs->contains("event")) {
        ++m_foreignLines;
        return;
    }
    const std::string &event = pairs->at("event");
    if (event == "lines-left-out") {
        const auto count = pairs->find("count");
        m_leftOut += count == pairs->end() ? 0 : parseNumber(count->second).value_or(0);
        return;
    }
    const auto service = pairs->find("service");
    const auto cause = pairs->find("cause");
    if (service == pairs->end() || cause == pairs->end()) {
        ++m_events[event];
        return;
    }
    ServiceDecisions &decisions = m_services[service->second];
    ++decisions.byCause[cause->second];
    if (const auto age = pairs->find("age_ms"); age != pairs->end()) {
        if (const std::optional<double> number = parseReal(age->second)) {
            decisions.agesMs.push_back(*number);
        }
    }
}

static double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

static double brokenShare(const ServiceDecisions &decisions)
{
    const double placed = static_cast<double>(std::max<std::uint64_t>(decisions.placed(), 1));
    return static_cast<double>(decisions.broken()) / placed;
}

std::string SteeringReport::table() const
{
    std::ostringstream out;
    out << std::left << std::setw(24) << "service" << std::right << std::setw(9) << "placed" << std::setw(9)
        << "broken" << std::setw(9) << "share" << std::setw(12) << "age p50 ms" << std::setw(12)
        << "age p99 ms"
        << "  causes\n";
    for (const auto &[service, decisions] : m_services) {
        out << std::left << std::setw(24) << service << std::right << std::setw(9) << decisions.placed()
            << std::setw(9) << decisions.broken() << std::setw(9) << std::fixed << std::setprecision(4)
            << brokenShare(decisions) << std::setw(12) << std::setprecision(0)
            << quantile(decisions.agesMs, 0.5) << std::setw(12) << quantile(decisions.agesMs, 0.99) << "  ";
        for (const auto &[cause, count] : decisions.byCause) {
            out << cause << '=' << count << ' ';
        }
        out << '\n';
    }
    for (const auto &[event, count] : m_events) {
        out << "event " << event << ": " << count << '\n';
    }
    out << "lines left out for volume: " << m_leftOut << "; lines that are no events: " << m_foreignLines
        << '\n';
    return out.str();
}

std::string SteeringReport::json() const
{
    json::array services;
    for (const auto &[service, decisions] : m_services) {
        json::object causes;
        for (const auto &[cause, count] : decisions.byCause) {
            causes[cause] = count;
        }
        services.push_back(
            {{"service", service}, {"placed", decisions.placed()}, {"broken", decisions.broken()},
                {"broken-share", brokenShare(decisions)}, {"age-p50-ms", quantile(decisions.agesMs, 0.5)},
                {"age-p99-ms", quantile(decisions.agesMs, 0.99)}, {"causes", std::move(causes)}});
    }
    json::object events;
    for (const auto &[event, count] : m_events) {
        events[event] = count;
    }
    return json::serialize(json::object{{"services", std::move(services)}, {"events", std::move(events)},
               {"lines-left-out", m_leftOut}, {"foreign-lines", m_foreignLines}})
        + "\n";
}

std::string SteeringReport::svg() const
{
    constexpr int RowHeight = 18;
    constexpr int LabelWidth = 220;
    constexpr double ScaleWidth = 400; // a share of one tenth
    const int height = RowHeight * (static_cast<int>(m_services.size()) + 2);
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"720\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" "
           "fill=\"white\"/>\n"
        << "<text x=\"8\" y=\"14\">flows refused or reset, as a share of those placed (full width: 0.1); "
        << m_leftOut << " lines left out</text>\n";
    int row = 1;
    for (const auto &[service, decisions] : m_services) {
        const int top = RowHeight * row++;
        const double width = std::min(brokenShare(decisions) * 10, 1.0) * ScaleWidth;
        out << "<text x=\"8\" y=\"" << top + 13 << "\">" << escapeXml(service) << "</text><rect x=\""
            << LabelWidth << "\" y=\"" << top + 3 << "\" width=\"" << width
            << "\" height=\"12\" fill=\"#c0392b\"/><text x=\"" << LabelWidth + width + 4 << "\" y=\""
            << top + 13 << "\">" << std::fixed << std::setprecision(4) << brokenShare(decisions) << " of "
            << decisions.placed() << "</text>\n";
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace jasminequay
