// An experiment: one plan played with several loads, policies and seeds.
#pragma once

#include "jasminequay/Model/loadplan.h"
#include "jasminequay/Model/loadresult.h"
#include "jasminequay/Settings/mistake.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jasminequay
{

/// What is compared.
enum class LoadPolicy : std::uint8_t {
    Limited, ///< Requests under way are limited while a queue stands.
    Unlimited,
};

std::string_view loadPolicyName(LoadPolicy policy);

/// The settings file of `jasminequay experiment`.
struct Experiment {
    LoadPlan plan;
    std::vector<LoadPolicy> policies{LoadPolicy::Limited, LoadPolicy::Unlimited};
    std::vector<double> loads{1}; ///< Multiples of the plan's calls, from `surgeAt` on.
    std::vector<std::uint64_t> seeds{1};
    Duration surgeAt = std::chrono::seconds(6);
    Duration surgeLasting = std::chrono::seconds(14);
    std::string surgeDataCentre; ///< Empty for all.
};

/// An experiment, usable only when there are no mistakes.
struct ParsedExperiment {
    Experiment experiment;
    Mistakes mistakes;
};

/// Parses and checks the settings of an experiment. Any bytes are safe.
ParsedExperiment parseExperiment(const std::string &text);

/// The outcome of one policy under one load, over all seeds.
struct ExperimentRow {
    LoadPolicy policy = LoadPolicy::Limited;
    double load = 1;
    CallCounts calls; ///< Sums over the seeds.
    double worstGoodShare = 1; ///< Of the seed that came off worst.
    double median = 0; ///< Milliseconds, the mean over the seeds; so are the following.
    double p95 = 0;
    double p99 = 0;
    std::uint64_t refusedTries = 0;
    std::uint64_t shedTries = 0;
};

/// Plays an experiment; rows come by policy, then by load.
std::vector<ExperimentRow> runExperiment(const Experiment &experiment);

/// Prints rows as a table.
std::string experimentTable(const std::vector<ExperimentRow> &rows);

/// Prints rows as JSON.
std::string experimentJson(const std::vector<ExperimentRow> &rows);

/// Draws offered load against calls answered within their objective and against the 95th percentile.
std::string experimentSvg(const std::vector<ExperimentRow> &rows);

} // namespace jasminequay
