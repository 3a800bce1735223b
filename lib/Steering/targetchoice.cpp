#include "jasminequay/Steering/targetchoice.h"

#include <algorithm>

namespace jasminequay
{

/// The factor by which the load of a target in this data centre may exceed that of a remote target with the
/// same response time before the remote one gets the flow.
constexpr double RemoteCostFactor = 8;

/// Targets that respond within this share of their objective are equally good: the times of single requests
/// vary by as much.
constexpr double FastResponseShare = 0.3;

/// The share of suspect targets above which suspicion is ignored for a service (the panic threshold of
/// Envoy).
constexpr double PanicShare = 0.5;

/// The share of lapsed entries above which the store is assumed to have failed rather than the targets.
constexpr double MassLapseShare = 0.34;

/// Ranks targets from the most to the least preferred.
enum class TargetRank : std::uint8_t {
    Trial,
    Good,
    Lapsed,
    Unanswered,
    Suspect,
    Ejected,
    Avoided,
    Lost,
    Draining
};

static bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool ChoiceRequest::isUnanswering(const KnownTarget &target, TimePoint now) const
{
    return target.openings.isOverdue(openingPatience, now)
        || contains(silentDataCentres, target.record.dataCentre);
}

bool ChoiceRequest::isLeftOut(const KnownTarget &target) const
{
    return contains(fullDataCentres, target.record.dataCentre)
        || contains(evacuatedDataCentres, target.record.dataCentre)
        || std::binary_search(withoutRoom.begin(), withoutRoom.end(), target.key);
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

/// Returns the rank of a target whose rank without ejection is `rank`. Evidence that it is lost or draining,
/// and an opening of the same flow that it left unanswered, weigh more than ejection. On probation it is
/// tried by selected flows that no other target has kept waiting.
static TargetRank rankWithEjection(
    const KnownTarget &target, TargetRank rank, const ChoiceRequest &request, TimePoint now)
{
    const bool isConcerned = request.outliers != nullptr && rank < TargetRank::Ejected
        && request.outliers->stage(target.key, now) != EjectionStage::Admitted;
    if (!isConcerned) {
        return rank;
    }
    const bool mayTry = rank == TargetRank::Good && request.isRepeatable && request.avoidedTarget == 0
        && target.record.dataCentre == request.dataCentre;
    return mayTry && request.outliers->isTrial(target.key, request.flowHash, now) ? TargetRank::Trial
                                                                                  : TargetRank::Ejected;
}

/// Returns whether so many targets are ejected that ejection is ignored. The cap of OutlierEjection counts
/// all targets of the service, of which many may be draining or lost; here only usable ones count.
static bool isEjectionIgnored(
    const std::vector<KnownTarget *> &targets, const ChoiceRequest &request, TimePoint now)
{
    if (request.outliers == nullptr) {
        return false;
    }
    std::size_t usable = 0;
    std::size_t ejected = 0;
    for (const KnownTarget *const target : targets) {
        const bool isUsable = !target->record.isDraining && !target->evidence.isLost(now);
        usable += isUsable ? 1 : 0;
        ejected += isUsable && request.outliers->stage(target->key, now) != EjectionStage::Admitted ? 1 : 0;
    }
    return static_cast<double>(ejected) > OutlierEjection::MaximumEjectedShare * static_cast<double>(usable);
}

static double costOf(const KnownTarget &target, const ChoiceRequest &request, TimePoint now)
{
    // Where the flows of cold targets are limited, the limit alone protects them.
    const bool isCold = now < target.warmUpEndsAt && !request.areColdLimited;
    const double load = (target.openFlows + 1) / usableSlots(target, isCold);
    // Squared, so that a data centre whose responses take twice as long as another one's spills over to it.
    const double responseShare
        = std::max(target.pace.objectiveShare(now), FastResponseShare) / FastResponseShare;
    const double cost = load * responseShare * responseShare;
    return target.record.dataCentre == request.dataCentre ? cost : cost * RemoteCostFactor;
}

/// Chooses by expected time among the targets of the best rank; null if it is that of draining targets.
static KnownTarget *chooseByExpectedTime(const std::vector<std::pair<TargetRank, KnownTarget *>> &ranked,
    const ChoiceRequest &request, TimePoint now)
{
    TargetRank best = TargetRank::Draining;
    for (const auto &[rank, target] : ranked) {
        best = std::min(best, rank);
    }
    std::vector<KnownTarget *> candidates;
    for (const auto &[rank, target] : ranked) {
        if (rank == best && rank != TargetRank::Draining) {
            candidates.push_back(target);
        }
    }
    return request.expectedTimes->choose(
        candidates, {request.route, request.dataCentre, request.flowHash, request.allInstances}, now);
}

KnownTarget *chooseTarget(
    const std::vector<KnownTarget *> &targets, const ChoiceRequest &request, TimePoint now)
{
    std::vector<std::pair<TargetRank, KnownTarget *>> ranked;
    std::size_t suspects = 0;
    std::size_t lapsed = 0;
    const bool mayEject = !isEjectionIgnored(targets, request, now);
    for (KnownTarget *const target : targets) {
        if (request.isLeftOut(*target)) {
            continue;
        }
        TargetRank rank = rankOf(*target, request, now);
        rank = mayEject ? rankWithEjection(*target, rank, request, now) : rank;
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
    if (request.expectedTimes != nullptr) {
        return chooseByExpectedTime(ranked, request, now);
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
        return isPreferredTie(*left.second, *right.second, request.flowHash);
    };
    const auto best = std::min_element(ranked.begin(), ranked.end(), isBetter);
    if (best == ranked.end() || best->first == TargetRank::Draining) {
        return nullptr;
    }
    return best->second;
}

} // namespace jasminequay
