#include "faultplan.h"

#include "jasminequay/Support/enumnames.h"

#include <algorithm>
#include <random>

namespace jasminequay::soak
{

using std::chrono::milliseconds;

static constexpr EnumNames<FaultKind, FaultKinds> FaultKindNames{{
    {FaultKind::InstanceKilled, "instance-killed"},
    {FaultKind::AllInstancesKilled, "all-instances-killed"},
    {FaultKind::InstancePaused, "instance-paused"},
    {FaultKind::InstanceStopped, "instance-stopped"},
    {FaultKind::ClockStepped, "clock-stepped"},
    {FaultKind::SettingsTouched, "settings-touched"},
    {FaultKind::StoreLinkSlow, "store-link-slow"},
    {FaultKind::StoreLinkResets, "store-link-resets"},
    {FaultKind::StoreLinkSilent, "store-link-silent"},
    {FaultKind::StoreAnswersLost, "store-answers-lost"},
    {FaultKind::StoreConnectionsSilenced, "store-connections-silenced"},
    {FaultKind::StoreRefuses, "store-refuses"},
    {FaultKind::StoreDown, "store-down"},
    {FaultKind::StoreForgets, "store-forgets"},
    {FaultKind::PeersCutOneWay, "peers-cut-one-way"},
    {FaultKind::PeersHarmed, "peers-harmed"},
    {FaultKind::DataCentresCut, "data-centres-cut"},
    {FaultKind::FetchesHarmed, "fetches-harmed"},
    {FaultKind::CallersLinkHarmed, "callers-link-harmed"},
    {FaultKind::TargetKilled, "target-killed"},
    {FaultKind::TargetLeaves, "target-leaves"},
    {FaultKind::TargetRestarts, "target-restarts"},
    {FaultKind::TargetReplaced, "target-replaced"},
    {FaultKind::TargetSilent, "target-silent"},
    {FaultKind::EntryLapsed, "entry-lapsed"},
    {FaultKind::EntryGarbled, "entry-garbled"},
    {FaultKind::RouteAdded, "route-added"},
    {FaultKind::RouteDropped, "route-dropped"},
}};

/// Kinds that one run mixes; routes change in every run besides.
constexpr std::size_t KindsPerRun = 7;

/// The pauses between faults are drawn up to this.
constexpr Duration LongestPause = milliseconds(1600);
constexpr Duration ShortestFault = milliseconds(300);
constexpr Duration LongestFault = milliseconds(4000);

std::string_view faultKindName(FaultKind kind)
{
    return nameIn(FaultKindNames, kind);
}

std::vector<Fault> drawFaults(std::uint64_t seed, Duration from, Duration to)
{
    std::mt19937_64 random(seed);
    std::vector<FaultKind> kinds;
    for (const auto &[kind, name] : FaultKindNames) {
        kinds.push_back(kind);
    }
    // Not std::shuffle: its order is up to the library.
    for (std::size_t index = kinds.size() - 1; index > 0; --index) {
        std::swap(kinds[index], kinds[random() % (index + 1)]);
    }
    kinds.resize(KindsPerRun);
    kinds.push_back(FaultKind::RouteAdded);
    kinds.push_back(FaultKind::RouteDropped);
    std::vector<Fault> faults;
    for (Duration at = from; at < to; at += Duration(random() % LongestPause.count())) {
        Fault fault;
        fault.at = at;
        fault.kind = kinds[random() % kinds.size()];
        fault.lasts = ShortestFault + Duration(random() % (LongestFault - ShortestFault).count());
        fault.lasts = std::min(fault.lasts, to - at + ShortestFault);
        fault.choice = random();
        faults.push_back(fault);
    }
    return faults;
}

std::string describe(const Fault &fault)
{
    const auto milli = [](Duration span) {
        return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
    };
    return "at_ms=" + milli(fault.at) + " fault=" + std::string(faultKindName(fault.kind))
        + " lasts_ms=" + milli(fault.lasts) + " choice=" + std::to_string(fault.choice % 1000);
}

} // namespace jasminequay::soak
