#include "jasminequay/Model/experiment.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>

namespace jasminequay
{

namespace json = boost::json;

std::string experimentTable(const std::vector<ExperimentRow> &rows)
{
    std::ostringstream out;
    out << std::left << std::setw(10) << "policy" << std::right << std::setw(7) << "load" << std::setw(10)
        << "offered" << std::setw(12) << "in time" << std::setw(8) << "late" << std::setw(10) << "unserved"
        << std::setw(8) << "share" << std::setw(8) << "worst" << std::setw(8) << "p50 ms" << std::setw(8)
        << "p95 ms" << std::setw(8) << "p99 ms" << std::setw(9) << "refused" << std::setw(8) << "shed"
        << '\n';
    for (const ExperimentRow &row : rows) {
        out << std::left << std::setw(10) << loadPolicyName(row.policy) << std::right << std::fixed
            << std::setprecision(2) << std::setw(7) << row.load << std::setw(10) << row.calls.offered
            << std::setw(12) << row.calls.withinObjective << std::setw(8) << row.calls.late << std::setw(10)
            << row.calls.unserved << std::setprecision(3) << std::setw(8) << row.calls.goodShare()
            << std::setw(8) << row.worstGoodShare << std::setprecision(0) << std::setw(8) << row.median
            << std::setw(8) << row.p95 << std::setw(8) << row.p99 << std::setw(9) << row.refusedAttempts
            << std::setw(8) << row.shedAttempts << '\n';
    }
    return out.str();
}

std::string experimentJson(const std::vector<ExperimentRow> &rows)
{
    json::array list;
    for (const ExperimentRow &row : rows) {
        list.push_back(json::object{{"policy", loadPolicyName(row.policy)}, {"load", row.load},
            {"offered", row.calls.offered}, {"in-objective", row.calls.withinObjective},
            {"late", row.calls.late}, {"unserved", row.calls.unserved}, {"good-share", row.calls.goodShare()},
            {"worst-good-share", row.worstGoodShare}, {"p50-ms", row.median}, {"p95-ms", row.p95},
            {"p99-ms", row.p99}, {"refused-tries", row.refusedAttempts}, {"shed-tries", row.shedAttempts}});
    }
    return json::serialize(json::object{{"rows", std::move(list)}}) + "\n";
}

namespace
{

/// Sizes in the user units of the SVG.
constexpr double PlotWidth = 640;
constexpr double PlotHeight = 220;
constexpr double Margin = 50;

/// A plot of one value of each row over its load, with a line for each policy.
class Plot
{
public:
    Plot(const std::vector<ExperimentRow> &rows, std::string title, double (*value)(const ExperimentRow &),
        double top)
        : m_title(std::move(title))
        , m_top(top)
    {
        for (const ExperimentRow &row : rows) {
            m_lines[row.policy].emplace_back(row.load, value(row));
            m_maxLoad = std::max(m_maxLoad, row.load);
            m_maxValue = std::max(m_maxValue, value(row));
        }
    }

    void draw(std::ostream &out) const
    {
        out << "<text x=\"" << Margin << "\" y=\"" << m_top - 8 << "\">" << m_title << " (up to "
            << m_maxValue << ") against load (up to " << m_maxLoad << ")</text>\n<rect x=\"" << Margin
            << "\" y=\"" << m_top << "\" width=\"" << PlotWidth << "\" height=\"" << PlotHeight
            << "\" fill=\"none\" stroke=\"#999\"/>\n";
        for (const auto &[policy, points] : m_lines) {
            const char *const colour = policy == LoadPolicy::Limited ? "#2980b9" : "#c0392b";
            out << "<polyline fill=\"none\" stroke=\"" << colour << "\" points=\"";
            for (const auto &[load, value] : points) {
                out << Margin + PlotWidth * load / m_maxLoad << ','
                    << m_top + PlotHeight * (1 - value / m_maxValue) << ' ';
            }
            out << "\"><title>" << loadPolicyName(policy) << "</title></polyline>\n";
        }
    }

private:
    std::string m_title;
    double m_top;
    double m_maxLoad = 1e-9;
    double m_maxValue = 1e-9;
    std::map<LoadPolicy, std::vector<std::pair<double, double>>> m_lines;
};

} // namespace

std::string experimentSvg(const std::vector<ExperimentRow> &rows)
{
    constexpr double SecondTop = 2 * Margin + PlotHeight;
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
        << PlotWidth + 2 * Margin << "\" height=\"" << SecondTop + PlotHeight + 2 * Margin
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" "
           "fill=\"white\"/>\n";
    const auto good = [](const ExperimentRow &row) {
        return static_cast<double>(row.calls.withinObjective);
    };
    Plot(rows, "calls answered within their objective", good, Margin).draw(out);
    Plot(
        rows, "95th percentile of latency in ms", [](const ExperimentRow &row) { return row.p95; }, SecondTop)
        .draw(out);
    out << "<text x=\"" << Margin << "\" y=\"" << SecondTop + PlotHeight + Margin
        << "\">blue: limited; red: unlimited</text>\n</svg>\n";
    return out.str();
}

} // namespace jasminequay
