// The part of the engine that explains where new flows would go.
#include "jasminequay/Steering/placementpreview.h"

#include "jasminequay/Steering/steeringengine.h"
#include "jasminequay/Steering/targetchoice.h"
#include "jasminequay/Support/enumnames.h"

#include <algorithm>

namespace jasminequay
{

/// The sampled flows. Packets wait during a preview, which takes about 0.2 ms where a service has 120 targets
/// and 10 to 18 ms where it has 4,100.
constexpr std::uint16_t SampleCount = 32;

/// The most targets of a service that are ranked: ranking takes a choice for each of them.
constexpr std::size_t MaximumRankedTargets = 20;

/// Flow hashes with which two targets are compared. Equally good ones win some of them each.
constexpr std::uint64_t ComparisonCount = 16;

static constexpr EnumNames<PlacementReason, PlacementReasonCount> PlacementReasonNames{{
    {PlacementReason::Chosen, "chosen"},
    {PlacementReason::Tied, "tied"},
    {PlacementReason::Draining, "draining"},
    {PlacementReason::Evacuated, "evacuated"},
    {PlacementReason::Ejected, "ejected"},
    {PlacementReason::ColdWithoutRoom, "cold-without-room"},
    {PlacementReason::Lost, "lost"},
    {PlacementReason::Suspect, "suspect"},
    {PlacementReason::OpeningUnanswered, "opening-unanswered"},
    {PlacementReason::DataCentreSilent, "data-centre-silent"},
    {PlacementReason::Lapsed, "lapsed"},
    {PlacementReason::DataCentreFull, "data-centre-full"},
    {PlacementReason::OtherDataCentre, "other-data-centre"},
    {PlacementReason::MoreLoad, "more-load"},
    {PlacementReason::WarmingUp, "warming-up"},
    {PlacementReason::SlowerResponses, "slower-responses"},
    {PlacementReason::RankedLower, "ranked-lower"},
}};

std::string_view placementReasonName(PlacementReason reason)
{
    return nameIn(PlacementReasonNames, reason);
}

/// Orders targets as chooseTarget() does: each is the choice among those that are not before it. Targets that
/// may not be chosen come last.
static std::vector<KnownTarget *> rankTargets(
    std::vector<KnownTarget *> targets, const ChoiceRequest &request, TimePoint now)
{
    std::vector<KnownTarget *> ranking;
    while (!targets.empty() && ranking.size() < MaximumRankedTargets) {
        KnownTarget *const chosen = chooseTarget(targets, request, now);
        if (chosen == nullptr) {
            break;
        }
        ranking.push_back(chosen);
        std::erase(targets, chosen);
    }
    const std::size_t room = std::min(targets.size(), MaximumRankedTargets - ranking.size());
    ranking.insert(ranking.end(), targets.begin(), targets.begin() + static_cast<std::ptrdiff_t>(room));
    return ranking;
}

/// Returns whether the hash of the flow decides between two targets.
static bool areTied(KnownTarget &left, KnownTarget &right, ChoiceRequest request, TimePoint now)
{
    std::uint64_t leftWins = 0;
    for (request.flowHash = 0; request.flowHash < ComparisonCount; ++request.flowHash) {
        leftWins += chooseTarget({&left, &right}, request, now) == &left ? 1 : 0;
    }
    return leftWins > 0 && leftWins < ComparisonCount;
}

/// Returns what makes a target rank behind the best one, apart from evidence against it.
static PlacementReason comparedReason(
    KnownTarget &target, KnownTarget &best, const ChoiceRequest &request, TimePoint now)
{
    if (areTied(target, best, request, now)) {
        return PlacementReason::Tied;
    }
    const std::string &dataCentre = target.record.dataCentre;
    if (dataCentre != request.dataCentre && best.record.dataCentre == request.dataCentre) {
        return PlacementReason::OtherDataCentre;
    }
    const auto loadOf = [](const KnownTarget &each) {
        return static_cast<double>(each.openFlows) / std::max<std::uint32_t>(each.record.slots, 1);
    };
    if (loadOf(target) > loadOf(best)) {
        return PlacementReason::MoreLoad;
    }
    if (now < target.warmUpEndsAt && now >= best.warmUpEndsAt) {
        return PlacementReason::WarmingUp;
    }
    return target.pace.objectiveShare(now) > best.pace.objectiveShare(now) ? PlacementReason::SlowerResponses
                                                                           : PlacementReason::RankedLower;
}

/// Returns the evidence because of which a target gets no new flows; RankedLower if there is none.
static PlacementReason evidenceReason(const KnownTarget &target, const ChoiceRequest &request, TimePoint now)
{
    if (target.record.isDraining) {
        return PlacementReason::Draining;
    }
    const std::vector<std::string> &evacuated = request.evacuatedDataCentres;
    if (std::find(evacuated.begin(), evacuated.end(), target.record.dataCentre) != evacuated.end()) {
        return PlacementReason::Evacuated;
    }
    if (target.evidence.isLost(now)) {
        return PlacementReason::Lost;
    }
    if (request.outliers != nullptr && request.outliers->stage(target.key, now) != EjectionStage::Admitted) {
        return PlacementReason::Ejected;
    }
    if (request.isLeftOut(target)) {
        return PlacementReason::ColdWithoutRoom;
    }
    if (target.evidence.verdict(now) == TargetVerdict::Suspect) {
        return PlacementReason::Suspect;
    }
    if (target.openings.isOverdue(request.openingPatience, now)) {
        return PlacementReason::OpeningUnanswered;
    }
    if (request.isUnanswering(target, now)) {
        return PlacementReason::DataCentreSilent;
    }
    return target.presence == TargetPresence::Lapsed ? PlacementReason::Lapsed : PlacementReason::RankedLower;
}

/// Returns the ranking of a service, and behind it further targets that got sampled flows.
static std::vector<KnownTarget *> targetsToShow(const std::vector<KnownTarget *> &targets,
    const SampledFlows &flows, const ChoiceRequest &request, TimePoint now)
{
    std::vector<KnownTarget *> shown = rankTargets(targets, request, now);
    for (KnownTarget *const target : targets) {
        if (flows.contains(target->key) && std::find(shown.begin(), shown.end(), target) == shown.end()) {
            shown.push_back(target);
        }
    }
    return shown;
}

std::map<std::string, PreviewedDataCentre> SteeringEngine::previewDataCentres(
    const Route &route, const std::string &service, const ChoiceRequest &request, TimePoint now)
{
    std::map<std::string, PreviewedDataCentre> dataCentres;
    for (const KnownTarget *const target : m_targets.targetsOfService(service)) {
        const std::string &name = target->record.dataCentre;
        PreviewedDataCentre &dataCentre = dataCentres[name];
        if (++dataCentre.targets > 1) {
            continue;
        }
        const std::vector<std::string> &silent = request.silentDataCentres;
        dataCentre.isSilent = std::find(silent.begin(), silent.end(), name) != silent.end();
        dataCentre.isFull = !admits(route, target->record, false, now);
        dataCentre.requestsInFlight = inFlightAt(target->record, now).count;
        const auto load = m_loads.find(std::pair(service, name));
        if (load == m_loads.end()) {
            continue;
        }
        dataCentre.objectiveShare = load->second.objectiveShare(now);
        if (load->second.isOverloaded(now)) {
            dataCentre.limit = load->second.limit();
        }
    }
    return dataCentres;
}

PreviewedService SteeringEngine::previewService(
    const Route &route, const WeightedService &service, const SampledFlows &flows, TimePoint now)
{
    ChoiceRequest request = choiceRequest(route, service.service, 0, now);
    leaveOutColdTargets(request, service.service, now);
    const std::vector<KnownTarget *> &targets = m_targets.targetsOfService(service.service);
    PreviewedService preview{service.service, service.weight, targets.size(), {}, {}};
    preview.dataCentres = previewDataCentres(route, service.service, request, now);
    const std::vector<KnownTarget *> shown = targetsToShow(targets, flows, request, now);
    for (KnownTarget *const target : shown) {
        const auto sampled = flows.find(target->key);
        PreviewedTarget item{target, sampled == flows.end() ? 0 : sampled->second, PlacementReason::Chosen};
        if (item.newFlows == 0) {
            item.reason = evidenceReason(*target, request, now);
        }
        if (item.reason == PlacementReason::RankedLower) {
            item.reason = preview.dataCentres[target->record.dataCentre].isFull
                ? PlacementReason::DataCentreFull
                : comparedReason(*target, *shown.front(), request, now);
        }
        preview.ranking.push_back(item);
    }
    return preview;
}

PlacementPreview SteeringEngine::previewPlacement(const Route &route, TimePoint now)
{
    // Placing a flow counts as demand and as use of cold targets; a preview must not change the decisions.
    const Admissions admissions = m_admissions;
    const std::map<std::uint32_t, std::uint64_t> refusedByPriority = m_refusedByPriority;
    const ColdTargetLimit coldTargets = m_coldTargets;
    const ExpectedTimes times = m_health.times;
    PlacementPreview preview;
    preview.samples = SampleCount;
    SampledFlows flows;
    PacketSummary packet;
    packet.flow.service = route.address;
    packet.isOpening = true;
    for (std::uint16_t sample = 1; sample <= SampleCount; ++sample) {
        packet.flow.caller = {{sample}, sample};
        const Placement placement = place(route, packet, 0, now);
        if (placement.target != nullptr) {
            ++flows[placement.target->key];
        } else {
            ++(placement.isFull ? preview.refusedAsFull : preview.withoutTarget);
        }
    }
    for (const WeightedService &service : route.services) {
        preview.services.push_back(previewService(route, service, flows, now));
    }
    m_admissions = admissions;
    m_refusedByPriority = refusedByPriority;
    m_coldTargets = coldTargets;
    m_health.times = times;
    return preview;
}

} // namespace jasminequay
