// Decides where each packet of a caller goes, by the token that it carries. Uses no clock, socket or thread.
#pragma once

#include "jasminequay/Settings/steeringfeatures.h"
#include "jasminequay/Steering/answerquality.h"
#include "jasminequay/Steering/coldtargetlimit.h"
#include "jasminequay/Steering/flowmemory.h"
#include "jasminequay/Steering/placementpreview.h"
#include "jasminequay/Steering/priorityadmission.h"
#include "jasminequay/Steering/routetable.h"
#include "jasminequay/Steering/serviceload.h"
#include "jasminequay/Steering/steeredpacket.h"
#include "jasminequay/Steering/steeringdecision.h"
#include "jasminequay/Steering/steeringhealth.h"
#include "jasminequay/Steering/targetdirectory.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jasminequay
{

struct ChoiceRequest;

/// The settings of an engine.
struct SteeringSettings {
    std::string dataCentre; ///< The data centre of this instance.
    std::size_t flowCapacity = 65536; ///< The maximum number of flows in the flow table.
    Duration flowLifetime = std::chrono::seconds(60); ///< A flow without packets is removed after this time.
    /// Packets are refused only if the data of the store is not older than this.
    Duration refusalAge = std::chrono::milliseconds(1500);
    DirectoryTiming directory;
    LoadLimits loadLimits;
    SteeringFeatures features = {};
};

/// The fields of a packet that the engine uses, independent of its format.
struct PacketSummary {
    SteeredFlow flow;
    SteeringToken token = NoToken;
    bool isOpening = false;
    std::uint32_t openingCopy = 0;
    bool isEnd = false;
    bool isReset = false;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t dataSize = 0;
};

/// Summarizes a packet of an attachment.
template <SteeredPacket Packet> PacketSummary summarize(const Packet &packet)
{
    return {packet.flow(), packet.token(), packet.isOpening(), packet.openingCopy(), packet.isEnd(),
        packet.isReset(), packet.sequence(), packet.acknowledged(), packet.dataSize()};
}

/// Makes the steering decisions of one instance. A decision needs no stored state, as a flow's packets carry
/// its token. The flow table adds evidence about targets, and decides which target keeps the flow where two
/// have answered its opening packets.
class SteeringEngine
{
public:
    explicit SteeringEngine(SteeringSettings settings);

    /// Decides about a packet.
    template <SteeredPacket Packet> SteeringDecision decide(const Packet &packet, TimePoint now)
    {
        return decideSummary(summarize(packet), now);
    }

    /// Decides about a summarized packet.
    SteeringDecision decideSummary(const PacketSummary &packet, TimePoint now);

    /// Records that the opening packet of a flow was sent once more to the same target. Its answer may be
    /// under way when the caller's own copy arrives; that copy then must not go to another target.
    void recordEarlyRetransmission(const SteeredFlow &flow, TimePoint now);

    /// Sets whether the packets that arrive now were queued while the instance was paused. Their callers have
    /// retransmitted since, and other instances have placed those flows. A second target would answer an old
    /// opening packet when the flow is already open, and its token would misdirect the flow's packets.
    void setBacklogged(bool isBacklogged)
    {
        m_isBacklogged = isBacklogged;
    }

    /// Returns resets for open flows at lost targets, at most `limit` per call, and removes old flows.
    std::vector<PendingReset> sweep(TimePoint now, std::size_t limit);

    /// Returns where sampled new flows of a route would go now, and why. Changes no state that decisions
    /// depend on.
    [[nodiscard]] PlacementPreview previewPlacement(const Route &route, TimePoint now);

    /// Records that the routes and targets known here were complete at the given time.
    void markCurrentAt(TimePoint at);

    /// Returns the latest time at which the routes and targets known here were proved to be complete.
    [[nodiscard]] TimePoint currentAt() const
    {
        return m_currentAt;
    }

    /// Sets the numbers of instances that share the targets, this one included: those in its data centre, and
    /// those in all data centres.
    void setInstanceCounts(std::size_t ofDataCentre, std::size_t all)
    {
        m_dataCentreInstances = std::max<std::size_t>(ofDataCentre, 1);
        m_allInstances = std::max<std::size_t>(all, m_dataCentreInstances);
    }

    /// The load of targets by service and data centre.
    using ServiceLoads = std::map<std::pair<std::string, std::string>, ServiceLoad, std::less<>>;

    /// Returns the load of each service from which responses were seen.
    [[nodiscard]] const ServiceLoads &serviceLoads() const
    {
        return m_loads;
    }

    /// The admission of new flows by service and data centre.
    using Admissions = std::map<std::pair<std::string, std::string>, PriorityAdmission, std::less<>>;

    /// Returns the admission at each service and data centre that was chosen for a flow. Empty unless the
    /// settings ask for admission by priority.
    [[nodiscard]] const Admissions &admissions() const
    {
        return m_admissions;
    }

    /// Returns the numbers of openings that were refused because all data centres were full, by priority.
    [[nodiscard]] const std::map<std::uint32_t, std::uint64_t> &refusedByPriority() const
    {
        return m_refusedByPriority;
    }

    /// Returns whether targets are ejected because of their answers.
    [[nodiscard]] bool ejectsOutliers() const
    {
        return m_settings.features.ejectsOutliers;
    }

    /// Returns the targets that are ejected because of their answers.
    [[nodiscard]] OutlierEjection &outliers()
    {
        return m_health.outliers;
    }

    /// Records the failed answers that a peer of the own data centre has observed. `peer` is its name.
    void recordPeerFailures(std::string_view peer, const std::vector<TargetFailures> &reports, TimePoint now);

    /// Replaces the routes in force if the new ones are later by era and version; returns whether it did.
    bool replaceRoutes(RouteConfiguration configuration, TimePoint now);

    /// Marks the targets of a data centre that limit their cold start as cold, as they have had no flows
    /// until now: an evacuation has ended.
    void restartWarmUp(const std::string &dataCentre, TimePoint now);

    [[nodiscard]] ColdTargetLimit &coldTargets()
    {
        return m_coldTargets;
    }
    [[nodiscard]] const ColdTargetLimit &coldTargets() const
    {
        return m_coldTargets;
    }
    [[nodiscard]] const RouteTable &routes() const
    {
        return m_routes;
    }
    [[nodiscard]] TargetDirectory &targets()
    {
        return m_targets;
    }
    [[nodiscard]] const SteeringCounters &counters() const
    {
        return m_counters;
    }
    [[nodiscard]] FlowMemory &flows()
    {
        return m_flows;
    }

private:
    /// The target selected for a new flow.
    struct Placement {
        KnownTarget *target = nullptr;
        SteeringToken token = NoToken;
        bool isFull = false; ///< Whether there is no target because all candidates are overloaded.
        bool isEvacuated = false; ///< Whether there is no target, and evacuated ones were left out.
    };

    /// The requests that this instance has in flight at the targets of a service in one data centre.
    struct InFlightRequests {
        std::uint32_t count = 0;
        double slots = 0; ///< This instance's part of the targets' slots.
    };

    SteeringDecision decideOpening(const PacketSummary &packet, TimePoint now);
    SteeringDecision decideNonOpening(const PacketSummary &packet, TimePoint now);
    SteeringDecision decideUnknownToken(const PacketSummary &packet, TimePoint now);
    SteeringDecision makeForward(KnownTarget &target, SteeringToken token, SteeringCause cause);
    SteeringDecision makeReset(SteeringCause cause, std::uint32_t sequence);
    SteeringDecision makeDrop(SteeringCause cause);
    Placement place(
        const Route &route, const PacketSummary &packet, std::uint64_t avoidedTarget, TimePoint now);
    [[nodiscard]] ChoiceRequest choiceRequest(
        const Route &route, const std::string &service, std::uint64_t flowHash, TimePoint now);
    [[nodiscard]] bool hasEvacuatedTarget(const std::string &service);
    [[nodiscard]] std::vector<std::string> evacuatedDataCentres(
        const std::string &service, const std::vector<std::string> &silent, TimePoint now);
    std::map<std::string, PreviewedDataCentre> previewDataCentres(
        const Route &route, const std::string &service, const ChoiceRequest &request, TimePoint now);
    PreviewedService previewService(
        const Route &route, const WeightedService &service, const SampledFlows &flows, TimePoint now);
    KnownTarget *targetOf(const PacketSummary &packet, const FlowState *state);
    void trackProgress(const PacketSummary &packet, FlowState &state, KnownTarget &target, TimePoint now);
    void leaveOutColdTargets(ChoiceRequest &request, const std::string &service, TimePoint now);
    [[nodiscard]] bool needsRoom(const FlowState &state, const KnownTarget &target, TimePoint now);
    void beginRequest(FlowState &state, KnownTarget &target, TimePoint now);
    void endRequest(const SteeredFlow &flow, FlowState &state, KnownTarget &target, std::uint32_t answerBytes,
        TimePoint now);
    AnswerVerdict judgeAnswer(
        const SteeredFlow &flow, std::uint32_t answerBytes, Duration time, TimePoint now);
    [[nodiscard]] OutlierCandidate candidateOf(const KnownTarget &target);
    [[nodiscard]] bool isJudged(TimePoint sentAt, TimePoint now) const;
    [[nodiscard]] Duration overdueAfter(Endpoint service) const;
    void addHealth(const Route &route, ChoiceRequest &request);
    void watchOpening(const SteeredFlow &flow, FlowState &state, TimePoint now);
    void watchRequest(const SteeredFlow &flow, FlowState &state, TimePoint now);
    void recordOpeningTime(const FlowState &state, const KnownTarget &target, TimePoint now);
    void recordOutcome(const SteeredFlow &flow, const FlowState &state, KnownTarget &target,
        AnswerVerdict verdict, TimePoint now);
    void markOverdue(const SteeredFlow &flow, FlowState &state, TimePoint sentAt, TimePoint now);
    void checkOpenings(TimePoint now);
    void checkRequests(TimePoint now);
    void checkHealth(TimePoint now);
    [[nodiscard]] bool admits(const Route &route, const TargetRecord &target, bool isSpilled, TimePoint now);
    PriorityAdmission *admissionAt(const TargetRecord &target);
    [[nodiscard]] bool admitsByPriority(const Route &route, const TargetRecord &target,
        std::uint64_t flowHash, bool isFirstChoice, TimePoint now);
    void recordSent(const SteeredFlow &flow, const KnownTarget &target, bool isOpening, TimePoint now);
    [[nodiscard]] InFlightRequests inFlightAt(const TargetRecord &target, TimePoint now);
    void bind(FlowState &state, KnownTarget &target, SteeringToken token);
    FlowState &findOrAddFlow(const SteeredFlow &flow);
    void unbind(FlowState &state);
    static void countEnd(FlowState &state, KnownTarget &target);
    static void forgetEnd(FlowState &state, KnownTarget *target);
    [[nodiscard]] bool isCurrent(TimePoint now) const;
    [[nodiscard]] bool mayAbort(const SteeredFlow &flow, const FlowState *state) const;
    [[nodiscard]] std::optional<SteeringCause> lossCause(
        const KnownTarget &target, const SteeredFlow &flow, const FlowState *state, TimePoint now) const;

    SteeringSettings m_settings;
    RouteTable m_routes;
    TargetDirectory m_targets;
    ColdTargetLimit m_coldTargets;
    FlowMemory m_flows;
    SteeringCounters m_counters{};
    ServiceLoads m_loads;
    std::unordered_map<std::uint64_t, AnswerQuality> m_answerQualities; ///< By the address of the route.
    Admissions m_admissions;
    std::map<std::uint32_t, std::uint64_t> m_refusedByPriority;
    OpeningPatience m_openingPatience;
    SteeringHealth m_health;
    std::size_t m_dataCentreInstances = 1;
    std::size_t m_allInstances = 1;
    TimePoint m_currentAt = TimePoint{};
    TimePoint m_loadedAt = TimePoint{}; ///< When the routes and targets were first complete.
    TimePoint m_cleanedUpAt = TimePoint{};
    bool m_isBacklogged = false;
};

} // namespace jasminequay
