#include "jasminequay/Model/experiment.h"

#include "jasminequay/Model/loadmodel.h"
#include "jasminequay/Support/enumnames.h"

#include <algorithm>

namespace jasminequay
{

static constexpr EnumNames<LoadPolicy, 2> LoadPolicyNames{{
    {LoadPolicy::Limited, "limited"},
    {LoadPolicy::Unlimited, "unlimited"},
}};

std::string_view loadPolicyName(LoadPolicy policy)
{
    return nameIn(LoadPolicyNames, policy);
}

static void add(CallCounts &sum, const CallCounts &counts)
{
    sum.offered += counts.offered;
    sum.withinObjective += counts.withinObjective;
    sum.late += counts.late;
    sum.unserved += counts.unserved;
}

static ExperimentRow runRow(const Experiment &experiment, LoadPolicy policy, double load)
{
    ExperimentRow row;
    row.policy = policy;
    row.load = load;
    const auto share = 1 / static_cast<double>(experiment.seeds.size());
    for (const std::uint64_t seed : experiment.seeds) {
        LoadPlan plan = experiment.plan;
        plan.seed = seed;
        plan.limits.isEnabled = policy == LoadPolicy::Limited;
        plan.events.push_back({LoadChange::Surge, experiment.surgeDataCentre, load, experiment.surgeAt,
            experiment.surgeLasting});
        const LoadResult result = LoadModel(std::move(plan)).run();
        add(row.calls, result.measured);
        row.worstGoodShare = std::min(row.worstGoodShare, result.measured.goodShare());
        row.median += share * result.latency(0.5);
        row.p95 += share * result.latency(0.95);
        row.p99 += share * result.latency(0.99);
        row.refusedAttempts += result.refusedAttempts;
        row.shedAttempts += result.shedAttempts;
    }
    return row;
}

std::vector<ExperimentRow> runExperiment(const Experiment &experiment)
{
    std::vector<ExperimentRow> rows;
    for (const LoadPolicy policy : experiment.policies) {
        for (const double load : experiment.loads) {
            rows.push_back(runRow(experiment, policy, load));
        }
    }
    return rows;
}

} // namespace jasminequay
