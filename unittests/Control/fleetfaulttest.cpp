// A table of faults, each injected into several instances that run the real control and flow libraries. The
// seeds are fixed.
#include "fleetwork.h"

#include <gtest/gtest.h>

namespace jasminequay
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t Seeds[] = {1, 2, 3};

/// A fault injected into a serving fleet, and how many flows it may break.
struct FaultCase {
    const char *name;
    void (*inject)(FakeFleet &fleet, FleetWorkload &work);
    std::uint64_t maxBroken; ///< Zero for every planned change.
};

static void runFourSeconds(FakeFleet &fleet)
{
    fleet.run(seconds(4));
}

static std::vector<ServiceSpec> withDraining(std::size_t service, std::size_t target)
{
    std::vector<ServiceSpec> services = defaultServices();
    services[service].targets[target].state = "draining";
    return services;
}

static void replaceAllInstances(FakeFleet &fleet)
{
    for (const std::string &name : fleet.names()) {
        fleet.start(name + "-new");
        fleet.run(seconds(4));
        fleet.leave(name);
        fleet.run(seconds(2));
        fleet.unreachable.insert(name);
        fleet.run(seconds(3));
        fleet.kill(name);
        fleet.unlist(name);
    }
}

static const FaultCase FaultCases[] = {
    {"no fault", [](FakeFleet &fleet, FleetWorkload &) { runFourSeconds(fleet); }, 0},
    {"rolling replacement", [](FakeFleet &fleet, FleetWorkload &) { replaceAllInstances(fleet); }, 0},
    {"target drains",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.publish(makeSettingsText(2, withDraining(0, 1)));
            runFourSeconds(fleet);
        },
        0},
    {"target drains while an instance joins",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.publish(makeSettingsText(2, withDraining(0, 1)));
            fleet.start("joiner");
            runFourSeconds(fleet);
        },
        0},
    {"two targets drain and a rolling replacement goes on",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.publish(makeSettingsText(2, withDraining(0, 1)));
            replaceAllInstances(fleet);
            fleet.publish(makeSettingsText(3, withDraining(1, 2)));
            runFourSeconds(fleet);
        },
        0},
    {"platform down, then an instance joins",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.setPlatformUp(false);
            fleet.start("joiner");
            runFourSeconds(fleet);
        },
        0},
    {"stale list names a dead instance",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.unreachable.insert("a");
            fleet.run(milliseconds(100));
            fleet.kill("a");
            runFourSeconds(fleet);
        },
        0},
    {"instance dies",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.kill("b");
            runFourSeconds(fleet);
        },
        0},
    {"two instances die together",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.kill("b");
            fleet.kill("c");
            runFourSeconds(fleet);
        },
        0},
    {"instance dies and its successor dies after it",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.kill("b");
            fleet.run(seconds(3));
            fleet.kill("c");
            runFourSeconds(fleet);
        },
        0},
    {"instance freezes and resumes late",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.freeze("b", true);
            fleet.run(seconds(5));
            fleet.freeze("b", false);
            runFourSeconds(fleet);
        },
        0},
    {"instance freezes through a settings change",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.freeze("b", true);
            fleet.publish(makeSettingsText(2, withDraining(0, 1)));
            fleet.run(seconds(5));
            fleet.freeze("b", false);
            runFourSeconds(fleet);
        },
        0},
    {"one-way cut between two instances",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.cut("a", "b", true);
            runFourSeconds(fleet);
            fleet.cut("a", "b", false);
            runFourSeconds(fleet);
        },
        0},
    {"peer messages lost, doubled and reordered",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.faults = {0.05, 0.05, milliseconds(2), milliseconds(30)};
            runFourSeconds(fleet);
            replaceAllInstances(fleet);
        },
        0},
    {"instance dies while another freezes and the platform is down",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.setPlatformUp(false);
            fleet.kill("b");
            fleet.freeze("c", true);
            fleet.run(seconds(4));
            fleet.freeze("c", false);
            runFourSeconds(fleet);
        },
        0},
};

static void startDefaultFleet(FakeFleet &fleet)
{
    for (const char *const name : {"a", "b", "c", "d", "e"}) {
        fleet.start(name);
    }
    fleet.publish(makeSettingsText(1, defaultServices()));
    fleet.run(seconds(6));
}

/// Checks promises 1, 2, 3, 5 and 7 under each fault of the table: no TCP flow breaks, no packet reaches a
/// target of another service, no caller gets a foreign answer, no flow that may not run twice reaches two
/// targets, and no refused flow has reached a target.
TEST(FleetFaults, PromisesHoldUnderEachFault)
{
    for (const FaultCase &fault : FaultCases) {
        for (const std::uint64_t seed : Seeds) {
            SCOPED_TRACE(std::string(fault.name) + ", seed " + std::to_string(seed));
            FakeFleet fleet(seed);
            FleetWorkload work(fleet, defaultServices());
            startDefaultFleet(fleet);
            work.openPeriodically(milliseconds(60));
            fleet.run(seconds(6));
            fault.inject(fleet, work);
            work.openPeriodically({});
            fleet.run(seconds(16));
            EXPECT_GT(work.completed(), 100U);
            EXPECT_LE(work.broken(), fault.maxBroken) << work.brokenFlowReasons();
            EXPECT_EQ(work.misdelivered(), 0U);
            EXPECT_EQ(work.wrongAnswers(), 0U);
            EXPECT_EQ(work.flowsAtSeveralTargets("reserve"), 0U);
            EXPECT_EQ(work.refusedButDelivered(), 0U);
        }
    }
}

} // namespace jasminequay
