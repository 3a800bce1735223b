// What changes and deaths cost: flows that met two targets, for each policy, on nine instances with their
// real decision libraries. Baselines without ownership are computed beside them. CSV with --csv.
#include "fleetwork.h"

#include "jasminequay/Placement/cataloguebuilder.h"
#include "jasminequay/Support/hash.h"

#include <cstdio>
#include <cstring>

using namespace jasminequay;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t Flows = 20000;
constexpr std::size_t Targets = 14;
constexpr std::size_t Instances = 9;

namespace
{

/// An event that flows have to outlive.
struct Event {
    const char *name;
    void (*act)(FakeFleet &fleet, const std::vector<ServiceSpec> &changed);
};

} // namespace

static std::vector<ServiceSpec> serviceWith(const std::string &placement)
{
    ServiceSpec service{
        "names", "10.1.0.4:53", "udp", "placement: " + placement + "\n        idle-timeout: 10m", {}};
    for (std::size_t number = 0; number < Targets; ++number) {
        service.targets.push_back({"10.2.3." + std::to_string(number + 1) + ":53"});
    }
    return {service};
}

static void replaceAll(FakeFleet &fleet, const std::vector<ServiceSpec> &)
{
    for (const std::string &name : fleet.names()) {
        fleet.start(name + "x");
        fleet.run(seconds(4));
        fleet.leave(name);
        fleet.run(seconds(4));
        fleet.unreachable.insert(name);
        fleet.run(seconds(2));
        fleet.kill(name);
        fleet.unlist(name);
    }
}

static std::string ownerOf(FakeFleet &fleet)
{
    for (const std::string &name : fleet.names()) {
        if (fleet.at(name).control.owns(0)) {
            return name;
        }
    }
    return fleet.names().front();
}

static const Event Events[] = {
    {"drain a target",
        [](FakeFleet &fleet, const std::vector<ServiceSpec> &changed) {
            fleet.publish(makeSettingsText(2, changed));
            fleet.run(seconds(4));
        }},
    {"replace all nine", replaceAll},
    {"owner dies",
        [](FakeFleet &fleet, const std::vector<ServiceSpec> &) {
            fleet.kill(ownerOf(fleet));
            fleet.run(seconds(4));
        }},
    {"owner dies, drain, disagreement",
        [](FakeFleet &fleet, const std::vector<ServiceSpec> &changed) {
            const std::string owner = ownerOf(fleet);
            fleet.freeze(fleet.names().front() == owner ? fleet.names().back() : fleet.names().front(), true);
            fleet.publish(makeSettingsText(2, changed));
            fleet.kill(owner);
            fleet.run(seconds(4));
            for (const std::string &name : fleet.names()) {
                fleet.freeze(name, false);
            }
            fleet.run(seconds(4));
        }},
};

/// Flows per million that go to another target when one of them drains, without ownership.
static void printBaselines(bool isCsv)
{
    const std::vector<ServiceSpec> before = serviceWith("hash");
    std::size_t movedPlain = 0;
    std::size_t movedRendezvous = 0;
    CatalogueBuilder whole("dc-1");
    CatalogueBuilder drained("dc-1");
    std::vector<ServiceSpec> changed = before;
    changed[0].targets[3].state = "draining";
    SettingsLedger first;
    SettingsLedger second;
    first.offer(makeSettingsText(1, before));
    second.offer(makeSettingsText(2, changed));
    const TimePoint now(seconds(1000));
    const ServiceTable &wholeTable = *whole.apply(first.configuration(), now)->service(0);
    const ServiceTable &drainedTable = *drained.apply(second.configuration(), now)->service(0);
    for (std::uint64_t flow = 0; flow < Flows; ++flow) {
        const std::uint64_t hash = hashWords(flow, 1);
        const std::size_t rest = hash % (Targets - 1);
        movedPlain += hash % Targets != (rest >= 3 ? rest + 1 : rest) ? 1 : 0;
        const Endpoint earlier = wholeTable.preferredTarget(hash)->settings.address;
        movedRendezvous += earlier != drainedTable.preferredTarget(hash)->settings.address ? 1 : 0;
    }
    const char *const form = isCsv ? "%s,%s,%.0f,,,\n" : "%-28s %-32s %10.0f\n";
    std::printf(form, "plain hash, no owner", Events[0].name, static_cast<double>(movedPlain) * 1e6 / Flows);
    std::printf(
        form, "rendezvous, no owner", Events[0].name, static_cast<double>(movedRendezvous) * 1e6 / Flows);
}

static void measure(bool isCsv, const char *placement, bool isActive, const Event &event)
{
    const std::vector<ServiceSpec> services = serviceWith(placement);
    std::vector<ServiceSpec> changed = services;
    changed[0].targets[3].state = "draining";
    FakeFleet fleet(1, 1U << 16);
    FleetWorkload work(fleet, services);
    for (std::size_t number = 0; number < Instances; ++number) {
        fleet.start(std::string(1, static_cast<char>('a' + number)));
    }
    fleet.publish(makeSettingsText(1, services));
    fleet.run(seconds(6));
    const std::uint64_t bytesBefore = fleet.controlBytes();
    for (std::size_t flow = 0; flow < Flows; flow += 10) {
        for (int each = 0; each < 10; ++each) {
            work.openUdp("names");
        }
        fleet.run(milliseconds(5));
    }
    const double openingSeconds = static_cast<double>(Flows) / 2000;
    const double controlBytes = static_cast<double>(fleet.controlBytes() - bytesBefore)
        / static_cast<double>(Instances) / openingSeconds;
    std::uint64_t exceptions = 0;
    for (const std::string &name : fleet.names()) {
        exceptions += fleet.at(name).engine.counters().exceptions;
    }
    // Quiet flows rest until every cache has forgotten them; active ones go on all the while.
    for (int second = 0; second < 45; ++second) {
        if (isActive && second % 3 == 0) {
            work.resendAllUdp();
        }
        fleet.run(seconds(1));
    }
    event.act(fleet, changed);
    work.resendAllUdp();
    fleet.run(seconds(8));
    const std::string label = std::string(placement) + (isActive ? ", active flows" : ", quiet flows");
    const double broken = static_cast<double>(work.flowsAtSeveralTargets("names")) * 1e6 / Flows;
    std::printf(isCsv ? "%s,%s,%.0f,%.3f,%.0f,%zu\n" : "%-28s %-32s %10.0f %10.3f %12.0f %10zu\n",
        label.c_str(), event.name, broken, static_cast<double>(exceptions) / Flows, controlBytes,
        static_cast<std::size_t>(work.answered()));
    std::fflush(stdout);
}

int main(int argc, char **argv)
{
    const bool isCsv = argc > 1 && std::strcmp(argv[1], "--csv") == 0;
    const std::string only = argc > (isCsv ? 2 : 1) ? argv[isCsv ? 2 : 1] : "";
    std::printf(isCsv ? "policy,event,broken per million,exceptions,control bytes,answered\n"
                      : "policy                       event                            broken/10^6 "
                        "exceptions control B/s   answered\n");
    printBaselines(isCsv);
    for (const char *const placement : {"hash", "bounded", "least"}) {
        if (!only.empty() && only != placement) {
            continue;
        }
        for (const bool isActive : {false, true}) {
            for (const Event &event : Events) {
                measure(isCsv, placement, isActive, event);
            }
        }
    }
    return 0;
}
