// Random sequences of faults. The seed is fixed in CI and printed by RapidCheck when a property fails.
#include "fleetwork.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jasminequay
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A fault of a random sequence.
enum class Fault {
    Kill,
    Restart,
    Freeze,
    Thaw,
    Cut,
    Heal,
    PlatformDown,
    PlatformUp,
    Drain,
    Restore,
    Lossy,
    Join,
    Count
};

static void apply(
    Fault fault, FakeFleet &fleet, std::vector<ServiceSpec> &services, std::uint64_t &version, int place)
{
    const std::vector<std::string> names = fleet.names();
    const std::string &name = names[static_cast<std::size_t>(place) % names.size()];
    const std::string &other = names[static_cast<std::size_t>(place + 1) % names.size()];
    ServiceSpec &service = services[static_cast<std::size_t>(place) % services.size()];
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
    case Fault::Thaw:
        for (const std::string &each : names) {
            fleet.freeze(each, false);
        }
        return;
    case Fault::Cut:
        fleet.cut(name, other, true);
        return;
    case Fault::Heal:
        for (const std::string &from : names) {
            for (const std::string &to : names) {
                fleet.cut(from, to, false);
            }
        }
        return;
    case Fault::PlatformDown:
    case Fault::PlatformUp:
        fleet.setPlatform(fault == Fault::PlatformUp);
        return;
    case Fault::Drain:
    case Fault::Restore:
        service.targets[static_cast<std::size_t>(place) % service.targets.size()].state
            = fault == Fault::Drain ? "draining" : "serving";
        fleet.publish(makeSettingsText(++version, services));
        return;
    case Fault::Lossy:
        fleet.faults = {0.1, 0.1, milliseconds(2), milliseconds(40)};
        return;
    case Fault::Join:
        fleet.start("joiner-" + std::to_string(place));
        return;
    case Fault::Count:
        return;
    }
}

/// Proves promises 2, 3, 4, 5 and 8 for random sequences of faults.
RC_GTEST_PROP(FleetProperties, HoldForRandomFaults, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const auto faults = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, static_cast<int>(Fault::Count)), rc::gen::inRange(0, 12)));
    FakeFleet fleet(seed);
    std::vector<ServiceSpec> services = usualServices();
    FleetWorkload work(fleet, services);
    for (const char *const name : {"a", "b", "c", "d"}) {
        fleet.start(name);
    }
    std::uint64_t version = 1;
    fleet.publish(makeSettingsText(version, services));
    fleet.run(seconds(5));
    work.openSteadily(milliseconds(100));
    fleet.run(seconds(1));
    std::map<std::string, std::uint64_t> inForce;
    for (const auto &[fault, place] : faults) {
        apply(static_cast<Fault>(fault), fleet, services, version, place);
        fleet.run(milliseconds(100 + 200 * (place % 8)));
        for (const std::string &name : fleet.names()) {
            const std::uint64_t present = fleet.at(name).control.settings().version();
            const bool isRestarted = fleet.at(name).control.members().rejoinedAt() > fleet.now() - seconds(3);
            RC_ASSERT(present >= inForce[name] || isRestarted);
            inForce[name] = present;
        }
    }
    RC_ASSERT(work.misdelivered() == 0U);
    RC_ASSERT(work.crossed() == 0U);
    RC_ASSERT(work.refusedButRun() == 0U);
    RC_ASSERT(work.flowsAtSeveralTargets("reserve") == 0U);
}

} // namespace jasminequay
