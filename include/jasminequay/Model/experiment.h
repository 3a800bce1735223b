// An experiment: runs one load plan with several loads, policies and seeds.
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

/// The overload policies that an experiment compares.
enum class LoadPolicy : std::uint8_t {
    Limited, ///< Outstanding requests are limited while targets have a standing queue.
    Unlimited, ///< No limit on outstanding requests.
};

std::string_view loadPolicyName(LoadPolicy policy);

/// The settings file of `jasminequay experiment`.
struct Experiment {
    LoadPlan plan;
    std::vector<LoadPolicy> policies{LoadPolicy::Limited, LoadPolicy::Unlimited};
    std::vector<double> loads{1}; ///< Factors on the plan's call rate during the surge.
    std::vector<std::uint64_t> seeds{1};
    Duration surgeAt = std::chrono::seconds(6); ///< Since the start of the run.
    Duration surgeLasting = std::chrono::seconds(14);
    std::string surgeDataCentre; ///< Empty for all.
};

/// An experiment and the mistakes in its settings. The experiment is usable only without mistakes.
struct ParsedExperiment {
    Experiment experiment;
    Mistakes mistakes;
};

/// Parses and checks the settings of an experiment. Safe for arbitrary input.
ParsedExperiment parseExperiment(const std::string &text);

/// The outcome of one policy under one load, over all seeds.
struct ExperimentRow {
    LoadPolicy policy = LoadPolicy::Limited;
    double load = 1;
    CallCounts calls; ///< Sums over the seeds.
    double worstGoodShare = 1; ///< The lowest good share of any seed.
    double median = 0; ///< Latency in milliseconds, averaged over the seeds, as are `p95` and `p99`.
    double p95 = 0;
    double p99 = 0;
    std::uint64_t refusedAttempts = 0; ///< Sum over the seeds, as is `shedAttempts`.
    std::uint64_t shedAttempts = 0;
};

/// Runs an experiment. Returns one row for each policy and load, ordered by policy, then by load.
std::vector<ExperimentRow> runExperiment(const Experiment &experiment);

/// Formats rows as a text table.
std::string experimentTable(const std::vector<ExperimentRow> &rows);

/// Formats rows as JSON.
std::string experimentJson(const std::vector<ExperimentRow> &rows);

/// Draws an SVG with two plots over the offered load: calls answered within their objective, and the 95th
/// percentile of the latency.
std::string experimentSvg(const std::vector<ExperimentRow> &rows);

} // namespace jasminequay
