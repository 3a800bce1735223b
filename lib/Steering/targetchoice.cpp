#include "jasminequay/Steering/targetchoice.h"

#include "jasminequay/Support/hash.h"

#include <algorithm>

namespace jasminequay
{

/// How much fuller a target of the own data centre may be than another before the other gets the flow, where
/// both answer equally soon.
constexpr double RemoteCost = 8;

/// Targets that answer within this share of their objective are equally good: times of single requests differ
/// by as much.
constexpr double QuickShare = 0.3;

/// The share of a cold target's slots that counts.
constexpr double ColdShare = 0.6;

/// The share of suspects above which a service's evidence is not believed (the panic threshold of Envoy).
constexpr double PanicShare = 0.5;

/// The share of lapsed entries above which the store, not the targets, is taken to have failed.
constexpr double MassLapseShare = 0.34;

/// What speaks against a target, most serious last.
enum class Standing : std::uint8_t { Good, Lapsed, Suspect, Avoided, Lost, Leaving };

static Standing standingOf(const KnownTarget &target, std::uint64_t avoided, TimePoint now)
{
    if (target.record.isDraining) {
        return Standing::Leaving;
    }
    switch (target.evidence.verdict(now)) {
    case TargetVerdict::Dead:
    case TargetVerdict::Unreachable:
        return Standing::Lost;
    case TargetVerdict::Suspect:
        return target.key == avoided ? Standing::Avoided : Standing::Suspect;
    case TargetVerdict::Healthy:
        break;
    }
    if (target.key == avoided) {
        return Standing::Avoided;
    }
    return target.presence == TargetPresence::Lapsed ? Standing::Lapsed : Standing::Good;
}

static double costOf(const KnownTarget &target, const ChoiceRequest &request, TimePoint now)
{
    const double slots
        = std::max<std::uint32_t>(target.record.slots, 1) * (now < target.warmAt ? ColdShare : 1);
    const double load = (target.openFlows + 1) / slots;
    // Squared, so that a data centre whose answers are twice as late as another's spills over to it.
    const double share = std::max(target.pace.objectiveShare(now), QuickShare) / QuickShare;
    const double cost = load * share * share;
    return target.record.dataCentre == request.dataCentre ? cost : cost * RemoteCost;
}

static std::uint64_t tieBreaker(const KnownTarget &target, std::uint64_t flowHash)
{
    return hashWords(flowHash, target.key);
}

KnownTarget *chooseTarget(
    const std::vector<KnownTarget *> &targets, const ChoiceRequest &request, TimePoint now)
{
    std::vector<std::pair<Standing, KnownTarget *>> ranked;
    std::size_t suspects = 0;
    std::size_t lapsed = 0;
    for (KnownTarget *const target : targets) {
        if (std::find(request.full.begin(), request.full.end(), target->record.dataCentre)
            != request.full.end()) {
            continue;
        }
        const Standing standing = standingOf(*target, request.avoided, now);
        ranked.emplace_back(standing, target);
        suspects += standing == Standing::Suspect ? 1 : 0;
        lapsed += standing == Standing::Lapsed ? 1 : 0;
    }
    const auto size = static_cast<double>(ranked.size());
    const bool isPanic = static_cast<double>(suspects) > PanicShare * size;
    const bool isMassLapse = static_cast<double>(lapsed) > MassLapseShare * size;
    for (auto &[standing, target] : ranked) {
        const bool isForgiven
            = (standing == Standing::Suspect && isPanic) || (standing == Standing::Lapsed && isMassLapse);
        standing = isForgiven ? Standing::Good : standing;
    }
    const auto isBetter = [&](const auto &left, const auto &right) {
        if (left.first != right.first) {
            return left.first < right.first;
        }
        const double leftCost = costOf(*left.second, request, now);
        const double rightCost = costOf(*right.second, request, now);
        if (leftCost != rightCost) {
            return leftCost < rightCost;
        }
        return tieBreaker(*left.second, request.flowHash) > tieBreaker(*right.second, request.flowHash);
    };
    const auto best = std::min_element(ranked.begin(), ranked.end(), isBetter);
    if (best == ranked.end() || best->first == Standing::Leaving) {
        return nullptr;
    }
    return best->second;
}

} // namespace jasminequay
