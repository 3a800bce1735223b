#include "jasminequay/Record/burnreport.h"

#include "xmltext.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace jasminequay
{

namespace json = boost::json;

static const BurnCell &cellOf(const ServiceBurn &burn, Objective objective, std::size_t window)
{
    return burn.cells[static_cast<std::size_t>(objective)][window];
}

static void printMissing(std::ostream &out, const RecordReader &reader)
{
    for (const SequenceGap &gap : reader.gaps()) {
        out << "missing: records " << gap.first << " to " << gap.last << " of " << gap.instance
            << " incarnation " << gap.incarnation << '\n';
    }
    for (const OpenEnd &end : reader.openEnds()) {
        out << "no stop record: " << end.instance << " incarnation " << end.incarnation
            << " runs still or died; nothing is known of it after " << end.lastAt << '\n';
    }
    for (const BadLine &line : reader.badLines()) {
        out << "not a record: " << line.file << ":" << line.line << ": " << line.reason << '\n';
    }
}

std::string burnTable(const std::vector<ServiceBurn> &burns, const RecordReader &reader)
{
    std::ostringstream out;
    out << std::left << std::setw(20) << "service" << std::setw(14) << "objective" << std::right;
    for (const BurnWindow &window : BurnWindows) {
        out << std::setw(20) << std::string(window.name) + " bad/all, burn";
    }
    out << '\n' << std::fixed << std::setprecision(2);
    for (const ServiceBurn &burn : burns) {
        for (const Objective objective : Objectives) {
            out << std::left << std::setw(20) << burn.service << std::setw(14) << objectiveName(objective)
                << std::right;
            for (std::size_t window = 0; window < BurnWindows.size(); ++window) {
                const BurnCell &cell = cellOf(burn, objective, window);
                std::ostringstream text;
                text << std::fixed << std::setprecision(2) << cell.bad << '/' << cell.events << ", "
                     << cell.rate();
                out << std::setw(20) << text.str();
            }
            out << '\n';
        }
    }
    printMissing(out, reader);
    return out.str();
}

static json::array missingJson(const RecordReader &reader)
{
    json::array missing;
    for (const SequenceGap &gap : reader.gaps()) {
        missing.push_back({{"kind", "gap"}, {"instance", gap.instance}, {"incarnation", gap.incarnation},
            {"first", gap.first}, {"last", gap.last}});
    }
    for (const OpenEnd &end : reader.openEnds()) {
        missing.push_back({{"kind", "no-stop-record"}, {"instance", end.instance},
            {"incarnation", end.incarnation}, {"last-at", end.lastAt}});
    }
    for (const BadLine &line : reader.badLines()) {
        missing.push_back(
            {{"kind", "bad-line"}, {"file", line.file}, {"line", line.line}, {"reason", line.reason}});
    }
    return missing;
}

std::string burnJson(const std::vector<ServiceBurn> &burns, const RecordReader &reader)
{
    json::array services;
    for (const ServiceBurn &burn : burns) {
        json::object objectives;
        for (const Objective objective : Objectives) {
            json::object windows;
            for (std::size_t window = 0; window < BurnWindows.size(); ++window) {
                const BurnCell &cell = cellOf(burn, objective, window);
                windows[BurnWindows[window].name] = {{"events", cell.events}, {"bad", cell.bad},
                    {"allowed", cell.allowed}, {"burn", cell.rate()}};
            }
            objectives[objectiveName(objective)] = std::move(windows);
        }
        services.push_back({{"service", burn.service}, {"objectives", std::move(objectives)}});
    }
    return json::serialize(json::object{{"services", std::move(services)}, {"missing", missingJson(reader)}})
        + "\n";
}

std::string burnSvg(const std::vector<ServiceBurn> &burns, const RecordReader &reader)
{
    constexpr int RowHeight = 18;
    constexpr int LabelWidth = 260;
    constexpr double UnitWidth = 100; // a burn rate of one
    constexpr double MaximumRate = 5;
    const int rows = static_cast<int>(burns.size() * Objectives.size() * BurnWindows.size());
    const int height = RowHeight * (rows + 3);
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
        << LabelWidth + static_cast<int>(UnitWidth * MaximumRate) + 80 << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<text x=\"8\" y=\"14\">burn rate of each objective; above the line at 1 it will be missed; "
        << missingJson(reader).size() << " notes on missing records</text>\n";
    int row = 1;
    for (const ServiceBurn &burn : burns) {
        for (const Objective objective : Objectives) {
            for (std::size_t window = 0; window < BurnWindows.size(); ++window, ++row) {
                const BurnCell &cell = cellOf(burn, objective, window);
                const int top = RowHeight * row;
                const double width = std::min(cell.rate(), MaximumRate) * UnitWidth;
                out << "<text x=\"8\" y=\"" << top + 13 << "\">" << escapeXml(burn.service) << ' '
                    << objectiveName(objective) << ' ' << BurnWindows[window].name << "</text><rect x=\""
                    << LabelWidth << "\" y=\"" << top + 3 << "\" width=\"" << width
                    << "\" height=\"12\" fill=\"" << (cell.rate() > 1 ? "#c0392b" : "#2980b9")
                    << "\"/><text x=\"" << LabelWidth + width + 4 << "\" y=\"" << top + 13 << "\">"
                    << std::fixed << std::setprecision(2) << cell.rate() << "</text>\n";
            }
        }
    }
    out << "<line x1=\"" << LabelWidth + UnitWidth << "\" x2=\"" << LabelWidth + UnitWidth << "\" y1=\""
        << RowHeight << "\" y2=\"" << height - RowHeight
        << "\" stroke=\"black\" stroke-dasharray=\"4\"/>\n</svg>\n";
    return out.str();
}

std::string trafficTable(const TrafficSums &sums, const RecordReader &reader)
{
    std::ostringstream out;
    out << std::left << std::setw(16) << "division" << std::setw(20) << "service" << std::right
        << std::setw(10) << "flows" << std::setw(10) << "refused" << std::setw(16) << "bytes up"
        << std::setw(16) << "bytes down" << std::setw(14) << "packets up" << std::setw(14) << "packets down"
        << '\n';
    for (const auto &[key, sum] : sums) {
        out << std::left << std::setw(16) << key.first << std::setw(20) << key.second << std::right
            << std::setw(10) << sum.flows << std::setw(10) << sum.refused << std::setw(16) << sum.bytesUp
            << std::setw(16) << sum.bytesDown << std::setw(14) << sum.packetsUp << std::setw(14)
            << sum.packetsDown << '\n';
    }
    printMissing(out, reader);
    return out.str();
}

} // namespace jasminequay
