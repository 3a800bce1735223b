#include "jasminequay/Platform/loadreport.h"

#include "jasminequay/Support/units.h"

#include <limits>
#include <sstream>

namespace jasminequay
{

std::optional<LoadReport> parseLoadReport(const std::string &text)
{
    LoadReport report;
    bool hasOutstanding = false;
    std::istringstream words(text);
    std::string word;
    while (words >> word) {
        if (word == "shedding=true" || word == "shedding=false") {
            report.isShedding = word == "shedding=true";
            continue;
        }
        const std::string prefix = "outstanding=";
        const std::optional<std::uint64_t> count
            = word.starts_with(prefix) ? parseNumber(word.substr(prefix.size())) : std::nullopt;
        if (!count || *count > std::numeric_limits<std::uint32_t>::max()) {
            return std::nullopt;
        }
        report.outstanding = static_cast<std::uint32_t>(*count);
        hasOutstanding = true;
    }
    return hasOutstanding ? std::optional(report) : std::nullopt;
}

} // namespace jasminequay
