// Property tests with random sequences of faults. CI fixes the seed; RapidCheck prints it when a property
// fails.
#include "fleetwork.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jasminequay
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The faults that a random sequence consists of.
enum class Fault {
    Kill,
    Restart,
    Freeze,
    UnfreezeAll,
    Cut,
    HealAll,
    PlatformDown,
    PlatformUp,
    Drain,
    Restore,
    Lossy,
    Join,
    Count
};

static void apply(
    Fault fault, FakeFleet &fleet, std::vector<ServiceSpec> &services, std::uint64_t &version, int index)
{
    const std::vector<std::string> names = fleet.names();
    const std::string &name = names[static_cast<std::size_t>(index) % names.size()];
    const std::string &other = names[static_cast<std::size_t>(index + 1) % names.size()];
    ServiceSpec &service = services[static_cast<std::size_t>(index) % services.size()];
    switch (fault) {
    case Fault::Kill:
        if (names.size() > 2) {
            fleet.kill(name);
        }
        return;
    case Fault::Restart:
        fleet.kill(name);
        fleet.start(name);
        return;
    case Fault::Freeze:
        fleet.freeze(name, true);
        return;
    case Fault::UnfreezeAll:
        for (const std::string &each : names) {
            fleet.freeze(each, false);
        }
        return;
    case Fault::Cut:
        fleet.cut(name, other, true);
        return;
    case Fault::HealAll:
        for (const std::string &from : names) {
            for (const std::string &to : names) {
                fleet.cut(from, to, false);
            }
        }
        return;
    case Fault::PlatformDown:
    case Fault::PlatformUp:
        fleet.setPlatformUp(fault == Fault::PlatformUp);
        return;
    case Fault::Drain:
    case Fault::Restore:
        service.targets[static_cast<std::size_t>(index) % service.targets.size()].state
            = fault == Fault::Drain ? "draining" : "serving";
        fleet.publish(makeSettingsText(++version, services));
        return;
    case Fault::Lossy:
        fleet.faults = {0.1, 0.1, milliseconds(2), milliseconds(40)};
        return;
    case Fault::Join:
        fleet.start("joiner-" + std::to_string(index));
        return;
    case Fault::Count:
        return;
    }
}

/// Checks promises 2, 3, 4, 5 and 8 under random sequences of faults: no packet reaches a target of another
/// service, no caller gets a foreign answer, no refused flow has reached a target, no flow that may not run
/// twice reaches two targets, and no instance reverts to an older settings version.
RC_GTEST_PROP(FleetProperties, HoldForRandomFaults, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const auto faults = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, static_cast<int>(Fault::Count)), rc::gen::inRange(0, 12)));
    FakeFleet fleet(seed);
    std::vector<ServiceSpec> services = defaultServices();
    FleetWorkload work(fleet, services);
    for (const char *const name : {"a", "b", "c", "d"}) {
        fleet.start(name);
    }
    std::uint64_t version = 1;
    fleet.publish(makeSettingsText(version, services));
    fleet.run(seconds(5));
    work.openPeriodically(milliseconds(100));
    fleet.run(seconds(1));
    std::map<std::string, std::uint64_t> lastVersions;
    for (const auto &[fault, index] : faults) {
        apply(static_cast<Fault>(fault), fleet, services, version, index);
        fleet.run(milliseconds(100 + 200 * (index % 8)));
        for (const std::string &name : fleet.names()) {
            const std::uint64_t currentVersion = fleet.at(name).control.settings().version();
            const bool isRestarted = fleet.at(name).control.members().rejoinedAt() > fleet.now() - seconds(3);
            RC_ASSERT(currentVersion >= lastVersions[name] || isRestarted);
            lastVersions[name] = currentVersion;
        }
    }
    RC_ASSERT(work.misdelivered() == 0U);
    RC_ASSERT(work.wrongAnswers() == 0U);
    RC_ASSERT(work.refusedButDelivered() == 0U);
    RC_ASSERT(work.flowsAtSeveralTargets("reserve") == 0U);
}

} // namespace jasminequay
