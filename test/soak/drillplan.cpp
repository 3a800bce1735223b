#include "drillplan.h"

#include "jasminequay/Support/enumnames.h"

#include <algorithm>
#include <random>

namespace jasminequay::soak
{

using std::chrono::milliseconds;

static constexpr EnumNames<DrillKind, 4> DrillKindNames{{
    {DrillKind::EvacuationBegun, "evacuation-begun"},
    {DrillKind::EvacuationEnded, "evacuation-ended"},
    {DrillKind::StoreCopied, "store-copied"},
    {DrillKind::StoreRestored, "store-restored"},
}};

/// An evacuation lasts longer than its bound, so that something can be seen.
constexpr Duration ShortestEvacuation = milliseconds(4500);
constexpr Duration ShortestGap = milliseconds(1000);
constexpr Duration ShortestCopyAge = milliseconds(1000);

/// Makes the draws differ from those of the faults of the same seed.
constexpr std::uint64_t SeedMask = 0x6472696c6c73;

std::vector<Drill> drawDrills(std::uint64_t seed, Duration from, Duration to)
{
    std::mt19937_64 random(seed ^ SeedMask);
    const auto upTo = [&random](unsigned most) {
        return milliseconds(random() % most);
    };
    std::vector<Drill> drills;
    for (Duration at = from + upTo(2000); at + ShortestEvacuation < to;) {
        const std::string dataCentre = random() % 2 == 0 ? "z1" : "z2";
        const Duration end = std::min<Duration>(at + ShortestEvacuation + upTo(3000), to);
        drills.push_back({at, DrillKind::EvacuationBegun, dataCentre});
        drills.push_back({end, DrillKind::EvacuationEnded, dataCentre});
        at = end + ShortestGap + upTo(2000);
    }
    const Duration copiedAt = from + upTo(6000);
    drills.push_back({copiedAt, DrillKind::StoreCopied, {}});
    drills.push_back({copiedAt + ShortestCopyAge + upTo(4000), DrillKind::StoreRestored, {}});
    std::stable_sort(drills.begin(), drills.end(),
        [](const Drill &left, const Drill &right) { return left.at < right.at; });
    return drills;
}

std::string describe(const Drill &drill)
{
    const auto at = std::chrono::duration_cast<milliseconds>(drill.at).count();
    const std::string where = drill.dataCentre.empty() ? "" : " data_centre=" + drill.dataCentre;
    return "at_ms=" + std::to_string(at) + " drill=" + std::string(nameIn(DrillKindNames, drill.kind))
        + where;
}

} // namespace jasminequay::soak
