// The report on burn as a table, as JSON and as an SVG plot.
#pragma once

#include "jasminequay/Record/burn.h"
#include "jasminequay/Record/recordreader.h"
#include "jasminequay/Record/trafficsum.h"

#include <string>
#include <vector>

namespace jasminequay
{

/// Prints a table, with what is missing below it.
std::string burnTable(const std::vector<ServiceBurn> &burns, const RecordReader &reader);

/// Prints JSON, with what is missing beside it.
std::string burnJson(const std::vector<ServiceBurn> &burns, const RecordReader &reader);

/// Draws a bar for each objective and window, with a line at a rate of one.
std::string burnSvg(const std::vector<ServiceBurn> &burns, const RecordReader &reader);

/// Prints each division's traffic as a table, with what is missing below it.
std::string trafficTable(const TrafficSums &sums, const RecordReader &reader);

} // namespace jasminequay
