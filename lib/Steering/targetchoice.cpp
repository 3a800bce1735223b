#include "jasminequay/Steering/targetchoice.h"

#include "jasminequay/Support/hash.h"

#include <algorithm>

namespace jasminequay
{

/// The factor by which the load of a target in this data centre may exceed that of a remote target with the
/// same response time before the remote one gets the flow.
constexpr double RemoteCostFactor = 8;

/// Targets that respond within this share of their objective are equally good: the times of single requests
/// vary by as much.
constexpr double FastResponseShare = 0.3;

/// The share of its slots that counts while a target is in its slow start.
constexpr double WarmUpSlotShare = 0.6;

/// The share of suspect targets above which suspicion is ignored for a service (the panic threshold of
/// Envoy).
constexpr double PanicShare = 0.5;

/// The share of lapsed entries above which the store is assumed to have failed rather than the targets.
constexpr double MassLapseShare = 0.34;

/// Ranks targets from the most to the least preferred.
enum class TargetRank : std::uint8_t { Good, Lapsed, Unanswered, Suspect, Avoided, Lost, Draining };

static bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool ChoiceRequest::isUnanswering(const KnownTarget &target, TimePoint now) const
{
    return target.openings.isOverdue(openingPatience, now)
        || contains(silentDataCentres, target.record.dataCentre);
}

static TargetRank rankOf(const KnownTarget &target, const ChoiceRequest &request, TimePoint now)
{
    if (target.record.isDraining) {
        return TargetRank::Draining;
    }
    switch (target.evidence.verdict(now)) {
    case TargetVerdict::Dead:
    case TargetVerdict::Unreachable:
        return TargetRank::Lost;
    case TargetVerdict::Suspect:
        return target.key == request.avoidedTarget ? TargetRank::Avoided : TargetRank::Suspect;
    case TargetVerdict::Healthy:
        break;
    }
    if (target.key == request.avoidedTarget) {
        return TargetRank::Avoided;
    }
    if (request.isUnanswering(target, now)) {
        return TargetRank::Unanswered;
    }
    return target.presence == TargetPresence::Lapsed ? TargetRank::Lapsed : TargetRank::Good;
}

static double costOf(const KnownTarget &target, const ChoiceRequest &request, TimePoint now)
{
    const double slots
        = std::max<std::uint32_t>(target.record.slots, 1) * (now < target.warmUpEndsAt ? WarmUpSlotShare : 1);
    const double load = (target.openFlows + 1) / slots;
    // Squared, so that a data centre whose responses take twice as long as another one's spills over to it.
    const double responseShare
        = std::max(target.pace.objectiveShare(now), FastResponseShare) / FastResponseShare;
    const double cost = load * responseShare * responseShare;
    return target.record.dataCentre == request.dataCentre ? cost : cost * RemoteCostFactor;
}

static std::uint64_t tieBreaker(const KnownTarget &target, std::uint64_t flowHash)
{
    return hashWords(flowHash, target.key);
}

KnownTarget *chooseTarget(
    const std::vector<KnownTarget *> &targets, const ChoiceRequest &request, TimePoint now)
{
    std::vector<std::pair<TargetRank, KnownTarget *>> ranked;
    std::size_t suspects = 0;
    std::size_t lapsed = 0;
    for (KnownTarget *const target : targets) {
        if (contains(request.fullDataCentres, target->record.dataCentre)
            || contains(request.evacuatedDataCentres, target->record.dataCentre)) {
            continue;
        }
        const TargetRank rank = rankOf(*target, request, now);
        ranked.emplace_back(rank, target);
        suspects += rank == TargetRank::Suspect ? 1 : 0;
        lapsed += rank == TargetRank::Lapsed ? 1 : 0;
    }
    const auto size = static_cast<double>(ranked.size());
    const bool isPanic = static_cast<double>(suspects) > PanicShare * size;
    const bool isMassLapse = static_cast<double>(lapsed) > MassLapseShare * size;
    for (auto &[rank, target] : ranked) {
        const bool isIgnored
            = (rank == TargetRank::Suspect && isPanic) || (rank == TargetRank::Lapsed && isMassLapse);
        rank = isIgnored ? TargetRank::Good : rank;
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
    if (best == ranked.end() || best->first == TargetRank::Draining) {
        return nullptr;
    }
    return best->second;
}

} // namespace jasminequay
