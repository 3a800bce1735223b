// Random histories of targets and of a fleet that hears of them in different ways. The invariants: no target
// that lives is taken for gone by any instance, and once the faults have ended all instances list just the
// targets that live.
#include "fakepopulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jasminequay::fleet
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How a history may disturb the store and the instances.
enum class Trouble : std::uint8_t {
    Targets, ///< Targets end, start again, and use addresses again; writes are lost or late.
    Writers, ///< Besides, other programs write entries, and services leave the configuration.
    Fleet, ///< Besides, instances start, are paused or cut off, and the store is down or forgets its history.
    Restores, ///< Besides, the store goes back to copies.
};

/// Applies a random event of the targets.
static void changeTargets(FakePopulation &population, std::mt19937_64 &random)
{
    switch (random() % 6) {
    case 0:
        population.crash();
        break;
    case 1:
        population.restart();
        break;
    case 2:
        population.reuseAddress();
        break;
    case 3:
        population.toggleDraining();
        break;
    default:
        population.setLossy(random() % 4 != 0);
        break;
    }
}

/// Applies a random event of other programs and of the configuration.
static void changeEntries(FakeCluster &cluster, FakePopulation &population, std::mt19937_64 &random)
{
    switch (random() % 4) {
    case 0:
        population.overwrite();
        break;
    case 1:
        cluster.store.changeRoutes(random() % 2 == 0 ? std::vector<std::string>{"desk", "guides"}
                                                     : std::vector<std::string>{"desk"});
        break;
    default:
        population.toggleCopy();
        break;
    }
}

/// Applies a random event of the instances, their links and the store.
static void disturbFleet(FakeCluster &cluster, FakePopulation &population, std::mt19937_64 &random)
{
    const std::size_t victim = random() % cluster.members.size();
    switch (random() % 6) {
    case 0:
        cluster.start(victim);
        break;
    case 1:
        cluster.members[victim].isFrozen = !cluster.members[victim].isFrozen;
        break;
    case 2:
        cluster.cutDataCentre(random() % 3, random() % 2 == 0);
        break;
    case 3:
        cluster.cutStore(victim, random() % 2 == 0);
        break;
    case 4:
        cluster.store.faults.isDown = random() % 3 == 0;
        population.setExpiringWhileDown(random() % 2 == 0);
        break;
    default:
        cluster.store.forgetHistory();
        break;
    }
}

static void applyEvent(
    FakeCluster &cluster, FakePopulation &population, Trouble trouble, std::mt19937_64 &random)
{
    const unsigned kind = random() % (static_cast<unsigned>(trouble) + 1);
    if (kind == 0) {
        changeTargets(population, random);
    } else if (kind == 1) {
        changeEntries(cluster, population, random);
    } else if (kind == 2) {
        disturbFleet(cluster, population, random);
    } else if (random() % 2 == 0) {
        cluster.store.makeCopy();
    } else {
        population.restoreStore();
    }
}

/// Ends all troubles of the fleet.
static void clearTroubles(FakeCluster &cluster, FakePopulation &population)
{
    population.setLossy(false);
    cluster.store.faults = StoreFaults{};
    cluster.store.changeRoutes({"desk", "guides"});
    for (std::size_t dataCentre = 0; dataCentre < 3; ++dataCentre) {
        cluster.cutDataCentre(dataCentre, false);
    }
    for (std::size_t number = 0; number < cluster.members.size(); ++number) {
        cluster.members[number].isFrozen = false;
        cluster.cutStore(number, false);
    }
}

/// Returns how an instance differs from the targets that live; empty if it does not.
static std::string differenceOf(const FakeMember &member, const FakePopulation &population)
{
    TargetDirectory &targets = member.engine->targets();
    const std::vector<const FakeTarget *> living = population.living();
    for (const FakeTarget *const target : living) {
        const KnownTarget *const known = targets.find(target->record.identity.key());
        const bool isUsed = known != nullptr && known->presence == TargetPresence::Listed
            && !known->isDisplaced && known->record.isDraining == target->record.isDraining;
        if (!isUsed) {
            return target->record.name + " is not listed as it is";
        }
    }
    const std::size_t used
        = targets.targetsOfService("desk").size() + targets.targetsOfService("guides").size();
    if (used != living.size()) {
        return "an instance lists targets that do not live";
    }
    return targets.heldCount() == 0 ? "" : "an instance still holds an entry back";
}

/// Returns the invariant that a history violated; empty if none.
static std::string runHistory(std::uint64_t seed, Trouble trouble)
{
    std::mt19937_64 random(seed);
    FakeCluster cluster({6, 3, 12, seconds(3), seed});
    cluster.store.changeRoutes({"desk", "guides"});
    cluster.store.makeCopy();
    FakePopulation population(cluster, seed + 1);
    std::string wrong = population.run(seconds(4));
    for (int event = 0; event < 24 && wrong.empty(); ++event) {
        applyEvent(cluster, population, trouble, random);
        wrong = population.run(milliseconds(50 + random() % 1500));
    }
    clearTroubles(cluster, population);
    // The late writes, their expiry, the grace of rivals and that of missing entries.
    wrong = wrong.empty() ? population.run(seconds(24)) : wrong;
    for (const FakeMember &member : cluster.members) {
        wrong = wrong.empty() ? differenceOf(member, population) : wrong;
    }
    return wrong;
}

RC_GTEST_PROP(TargetLives, FollowFromTheEntriesThatStand, (std::uint64_t seed))
{
    for (const Trouble trouble : {Trouble::Targets, Trouble::Writers, Trouble::Fleet, Trouble::Restores}) {
        RC_ASSERT(runHistory(seed, trouble) == std::string());
    }
}

} // namespace jasminequay::fleet
