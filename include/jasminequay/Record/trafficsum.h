// The traffic of each division, summed from connection records.
#pragma once

#include "jasminequay/Record/connectionrecord.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jasminequay
{

/// What a division was served through one service.
struct TrafficSum {
    std::uint64_t flows = 0; ///< Flows that ended; refusals are not among them.
    std::uint64_t refused = 0;
    std::uint64_t bytesUp = 0;
    std::uint64_t bytesDown = 0;
    std::uint64_t packetsUp = 0;
    std::uint64_t packetsDown = 0;
};

/// The sums by division and service.
using TrafficSums = std::map<std::pair<std::string, std::string>, TrafficSum>;

/// Sums the records.
TrafficSums sumTraffic(const std::vector<ConnectionRecord> &records);

} // namespace jasminequay
