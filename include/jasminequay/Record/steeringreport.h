// Sums over the logs of instances that steer by token.
#pragma once

#include "jasminequay/Support/failure.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminequay
{

/// The pairs of one log line.
using LogPairs = std::map<std::string, std::string, std::less<>>;

/// Splits a line into its pairs; values may be quoted. Nothing for a line that is not made of pairs.
std::optional<LogPairs> parseLogLine(std::string_view line);

/// What the logs tell of the flows to one service address.
struct ServiceDecisions {
    std::map<std::string, std::uint64_t> byCause; ///< Lines by cause: placed, target-dead, no-route, ...
    std::vector<double> agesMs; ///< How old the instance's knowledge was, for each line that says it.

    /// Returns the placed flows.
    [[nodiscard]] std::uint64_t placed() const;

    /// Returns the flows that were refused or reset.
    [[nodiscard]] std::uint64_t broken() const;
};

/// Adds up log lines. Lines that were left out for volume are counted, so that sums are known to be low.
class SteeringReport
{
public:
    /// Adds a log file.
    Result<void> readFile(const std::string &path);

    /// Adds a line; one that is no event of an instance is counted as foreign.
    void addLine(std::string_view line);

    /// Prints a table.
    [[nodiscard]] std::string table() const;

    /// Prints JSON.
    [[nodiscard]] std::string json() const;

    /// Draws a bar for each service: the share of its flows that were refused or reset.
    [[nodiscard]] std::string svg() const;

    [[nodiscard]] const std::map<std::string, ServiceDecisions> &services() const
    {
        return m_services;
    }
    [[nodiscard]] std::uint64_t leftOut() const
    {
        return m_leftOut;
    }
    [[nodiscard]] std::uint64_t foreignLines() const
    {
        return m_foreignLines;
    }

private:
    std::map<std::string, ServiceDecisions> m_services;
    std::map<std::string, std::uint64_t> m_events; ///< Lines of other events.
    std::uint64_t m_leftOut = 0;
    std::uint64_t m_foreignLines = 0;
};

} // namespace jasminequay
