// Compares the placement policies on the same seeded work: a table on standard output, CSV with --csv.
#include "queueingmodel.h"

#include <cstdio>
#include <cstring>

using namespace jasminequay;
using namespace jasminequay::bench;

namespace
{

struct NamedPolicy {
    const char *name;
    PlacementPolicy placement;
    double bound;
};

constexpr NamedPolicy Policies[] = {
    {"hash", PlacementPolicy::Hash, 0},
    {"bounded 2.0", PlacementPolicy::Bounded, 2},
    {"bounded 1.5", PlacementPolicy::Bounded, 1.5},
    {"bounded 1.25", PlacementPolicy::Bounded, 1.25},
    {"least", PlacementPolicy::Least, 0},
};

} // namespace

static void printRow(bool isCsv, const NamedPolicy &policy, const ModelPlan &plan, const char *reports)
{
    const ModelResult result = runModel(plan);
    const char *const form = isCsv ? "%s,%s,%s,%zu,%zu,%.4f,%.4f,%.4f,%.3f,%.3f,%.3f\n"
                                   : "%-13s %-6s %-8s %7zu %6zu %8.4f %9.4f %9.4f %9.3f %7.3f %10.3f\n";
    std::printf(form, policy.name, plan.isLongFlows ? "long" : "short", reports, plan.targets, plan.owners,
        result.wait, result.oneQueueWait, result.joinShortestWait, result.imbalance, result.imbalance99,
        result.exceptions);
}

int main(int argc, char **argv)
{
    const bool isCsv = argc > 1 && std::strcmp(argv[1], "--csv") == 0;
    std::printf(isCsv
            ? "policy,flows,reports,targets,owners,wait,one queue,shortest,max/mean,p99,exceptions\n"
            : "policy        flows  reports  targets owners     wait one queue  shortest  max/mean     p99 "
              "exceptions\n");
    for (const bool isLong : {false, true}) {
        for (const std::size_t targets : {std::size_t{4}, std::size_t{14}}) {
            for (const NamedPolicy &policy : Policies) {
                for (const std::size_t owners : {std::size_t{1}, std::size_t{3}, std::size_t{9}}) {
                    ModelPlan plan;
                    plan.placement = policy.placement;
                    plan.bound = policy.bound;
                    plan.targets = targets;
                    plan.owners = owners;
                    plan.isLongFlows = isLong;
                    printRow(isCsv, policy, plan, "none");
                    const bool showsReports
                        = policy.placement == PlacementPolicy::Least && !isLong && owners != 3;
                    if (showsReports) {
                        plan.reports = Reports::Lagging;
                        printRow(isCsv, policy, plan, "lagging");
                        plan.reports = Reports::Lying;
                        printRow(isCsv, policy, plan, "lying");
                    }
                }
            }
        }
    }
    return 0;
}
