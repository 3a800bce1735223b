// What a target says of its own load.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace jasminequay
{

/// A load report: key=value pairs separated by spaces or line ends.
struct LoadReport {
    std::uint32_t outstanding = 0;
    bool isShedding = false;
};

/// Parses "outstanding=3 shedding=false"; nothing for anything else.
std::optional<LoadReport> parseLoadReport(const std::string &text);

} // namespace jasminequay
