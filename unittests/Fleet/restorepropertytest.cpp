// Random sequences of faults on a fleet whose store goes back to copies while data centres are evacuated. The
// invariant: once the faults end, every instance knows what the store holds.
#include "fakecluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <string>

namespace jasminequay::fleet
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Applies one random fault or change.
static void injectFault(FakeCluster &cluster, std::mt19937_64 &random)
{
    const std::size_t victim = random() % cluster.members.size();
    const std::string dataCentre = "dc-" + std::to_string(random() % 3);
    switch (random() % 11) {
    case 0:
        cluster.kill(victim);
        break;
    case 1:
        cluster.start(victim);
        break;
    case 2:
        cluster.members[victim].isFrozen = !cluster.members[victim].isFrozen;
        break;
    case 3:
        cluster.cutDataCentre(random() % 3, random() % 2 == 0);
        break;
    case 4:
        cluster.cutStore(victim, random() % 2 == 0);
        break;
    case 5:
        cluster.store.faults.isDown = random() % 3 == 0;
        break;
    case 6:
        cluster.store.makeCopy();
        break;
    case 7:
        cluster.store.restoreCopy();
        break;
    case 8:
        cluster.store.evacuate(dataCentre);
        break;
    case 9:
        cluster.store.endEvacuation(dataCentre);
        break;
    default: {
        TargetRecord record = cluster.store.readAll().update.targets.front();
        record.isDraining = random() % 2 == 0;
        record.identity.startedAt += random() % 3 == 0 ? 1 : 0;
        cluster.store.put(record);
        cluster.store.changeRoutes();
        break;
    }
    }
}

/// Ends all faults and restarts stopped instances.
static void clearFaults(FakeCluster &cluster)
{
    cluster.store.faults = StoreFaults{};
    for (std::size_t dataCentre = 0; dataCentre < 3; ++dataCentre) {
        cluster.cutDataCentre(dataCentre, false);
    }
    for (std::size_t number = 0; number < cluster.members.size(); ++number) {
        cluster.members[number].isFrozen = false;
        cluster.cutStore(number, false);
        if (!cluster.members[number].control) {
            cluster.start(number);
        }
    }
}

/// Returns what an instance does not know of the store; empty if it knows everything.
static std::string differenceOf(const FakeMember &member, const FakeDirectory &store)
{
    const DirectoryUpdate update = store.readAll().update;
    TargetDirectory &targets = member.engine->targets();
    if (member.control->revision() != store.revision()) {
        return "an instance is behind";
    }
    if (member.engine->routes().configuration().order() != update.routes->order()) {
        return "an instance has other routes than the store";
    }
    if (targets.evacuations().evacuatedDataCentres().size() != update.evacuations.size()) {
        return "an instance knows other evacuations than the store";
    }
    for (const EvacuationRecord &record : update.evacuations) {
        if (!targets.evacuations().isEvacuated(record.dataCentre)) {
            return "an instance lacks an evacuation";
        }
    }
    for (const TargetRecord &record : update.targets) {
        const KnownTarget *const target = targets.find(record.identity.key());
        const bool isSame = target != nullptr && target->presence == TargetPresence::Listed
            && target->record.isDraining == record.isDraining;
        if (!isSame) {
            return "an instance knows another state of a target";
        }
    }
    return targets.listedCount() == update.targets.size() ? "" : "an instance lists other targets";
}

/// Returns the invariant that a sequence violated; empty if none.
static std::string runRestores(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    FakeCluster cluster({9, 3, 18, seconds(3), seed});
    cluster.store.makeCopy();
    cluster.run(seconds(3));
    for (int fault = 0; fault < 14; ++fault) {
        injectFault(cluster, random);
        cluster.run(milliseconds(50 + random() % 1500));
    }
    clearFaults(cluster);
    cluster.run(seconds(12));
    if (cluster.versionRegressions != 0U) {
        return "a version decreased within an era";
    }
    for (const FakeMember &member : cluster.members) {
        if (std::string difference = differenceOf(member, cluster.store); !difference.empty()) {
            return difference;
        }
    }
    return {};
}

RC_GTEST_PROP(FleetRestores, EveryInstanceKnowsWhatTheStoreHolds, (std::uint64_t seed))
{
    RC_ASSERT(runRestores(seed) == std::string());
}

} // namespace jasminequay::fleet
