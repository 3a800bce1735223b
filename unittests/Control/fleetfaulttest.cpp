// Faults in a table, each against several instances with their real decision libraries. The seeds are fixed.
#include "fleetwork.h"

#include <gtest/gtest.h>

namespace jasminequay
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t Seeds[] = {1, 2, 3};

/// A fault that is put upon a fleet that serves, and what may come of it.
struct FaultCase {
    const char *name;
    void (*act)(FakeFleet &fleet, FleetWorkload &work);
    std::uint64_t brokenAllowed; ///< Zero for every planned change.
};

static void waitSome(FakeFleet &fleet)
{
    fleet.run(seconds(4));
}

static std::vector<ServiceSpec> withDraining(std::size_t service, std::size_t target)
{
    std::vector<ServiceSpec> services = usualServices();
    services[service].targets[target].state = "draining";
    return services;
}

static void replaceAll(FakeFleet &fleet)
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
    {"nothing", [](FakeFleet &fleet, FleetWorkload &) { waitSome(fleet); }, 0},
    {"rolling replacement", [](FakeFleet &fleet, FleetWorkload &) { replaceAll(fleet); }, 0},
    {"target drains",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.publish(makeSettingsText(2, withDraining(0, 1)));
            waitSome(fleet);
        },
        0},
    {"target drains while an instance joins",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.publish(makeSettingsText(2, withDraining(0, 1)));
            fleet.start("joiner");
            waitSome(fleet);
        },
        0},
    {"two targets drain and a rolling replacement goes on",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.publish(makeSettingsText(2, withDraining(0, 1)));
            replaceAll(fleet);
            fleet.publish(makeSettingsText(3, withDraining(1, 2)));
            waitSome(fleet);
        },
        0},
    {"platform down, then an instance joins",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.setPlatform(false);
            fleet.start("joiner");
            waitSome(fleet);
        },
        0},
    {"stale list names a dead instance",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.unreachable.insert("a");
            fleet.run(milliseconds(100));
            fleet.kill("a");
            waitSome(fleet);
        },
        0},
    {"instance dies",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.kill("b");
            waitSome(fleet);
        },
        0},
    {"two instances die together",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.kill("b");
            fleet.kill("c");
            waitSome(fleet);
        },
        0},
    {"instance dies and its successor dies after it",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.kill("b");
            fleet.run(seconds(3));
            fleet.kill("c");
            waitSome(fleet);
        },
        0},
    {"instance freezes and wakes late",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.freeze("b", true);
            fleet.run(seconds(5));
            fleet.freeze("b", false);
            waitSome(fleet);
        },
        0},
    {"instance freezes through a settings change",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.freeze("b", true);
            fleet.publish(makeSettingsText(2, withDraining(0, 1)));
            fleet.run(seconds(5));
            fleet.freeze("b", false);
            waitSome(fleet);
        },
        0},
    {"one-way cut between two instances",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.cut("a", "b", true);
            waitSome(fleet);
            fleet.cut("a", "b", false);
            waitSome(fleet);
        },
        0},
    {"peer messages lost, doubled and reordered",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.faults = {0.05, 0.05, milliseconds(2), milliseconds(30)};
            waitSome(fleet);
            replaceAll(fleet);
        },
        0},
    {"instance dies while another freezes and the platform is down",
        [](FakeFleet &fleet, FleetWorkload &) {
            fleet.setPlatform(false);
            fleet.kill("b");
            fleet.freeze("c", true);
            fleet.run(seconds(4));
            fleet.freeze("c", false);
            waitSome(fleet);
        },
        0},
};

static void startUsual(FakeFleet &fleet)
{
    for (const char *const name : {"a", "b", "c", "d", "e"}) {
        fleet.start(name);
    }
    fleet.publish(makeSettingsText(1, usualServices()));
    fleet.run(seconds(6));
}

/// Proves promises 1, 2, 3, 5 and 7 for each fault of the table.
TEST(FleetFaults, KeepThePromises)
{
    for (const FaultCase &fault : FaultCases) {
        for (const std::uint64_t seed : Seeds) {
            SCOPED_TRACE(std::string(fault.name) + ", seed " + std::to_string(seed));
            FakeFleet fleet(seed);
            FleetWorkload work(fleet, usualServices());
            startUsual(fleet);
            work.openSteadily(milliseconds(60));
            fleet.run(seconds(6));
            fault.act(fleet, work);
            work.openSteadily({});
            fleet.run(seconds(16));
            EXPECT_GT(work.whole(), 100U);
            EXPECT_LE(work.broken(), fault.brokenAllowed) << work.reasons();
            EXPECT_EQ(work.misdelivered(), 0U);
            EXPECT_EQ(work.crossed(), 0U);
            EXPECT_EQ(work.flowsAtSeveralTargets("reserve"), 0U);
            EXPECT_EQ(work.refusedButRun(), 0U);
        }
    }
}

} // namespace jasminequay
