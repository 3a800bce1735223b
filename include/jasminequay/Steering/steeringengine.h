// Decides where each packet of a caller goes, by the token that it carries. Uses no clock, socket or thread.
#pragma once

#include "jasminequay/Steering/flowmemory.h"
#include "jasminequay/Steering/placementpreview.h"
#include "jasminequay/Steering/routetable.h"
#include "jasminequay/Steering/serviceload.h"
#include "jasminequay/Steering/steeredpacket.h"
#include "jasminequay/Steering/steeringdecision.h"
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

    /// Replaces the routes in force if the version of the new ones is higher; returns whether it did.
    bool replaceRoutes(RouteConfiguration configuration, TimePoint now);

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
    std::map<std::string, PreviewedDataCentre> previewDataCentres(
        const Route &route, const std::string &service, const ChoiceRequest &request, TimePoint now);
    PreviewedService previewService(
        const Route &route, const WeightedService &service, const SampledFlows &flows, TimePoint now);
    KnownTarget *targetOf(const PacketSummary &packet, const FlowState *state);
    void trackProgress(const PacketSummary &packet, FlowState &state, KnownTarget &target, TimePoint now);
    void beginRequest(FlowState &state, KnownTarget &target, TimePoint now);
    void endRequest(const SteeredFlow &flow, FlowState &state, KnownTarget &target, TimePoint now);
    [[nodiscard]] bool admits(const Route &route, const TargetRecord &target, bool isSpilled, TimePoint now);
    [[nodiscard]] InFlightRequests inFlightAt(const TargetRecord &target, TimePoint now);
    void bind(FlowState &state, KnownTarget &target, SteeringToken token);
    FlowState &findOrAddFlow(const SteeredFlow &flow);
    void unbind(FlowState &state);
    [[nodiscard]] bool isCurrent(TimePoint now) const;
    [[nodiscard]] bool mayAbort(const SteeredFlow &flow, const FlowState *state) const;
    [[nodiscard]] std::optional<SteeringCause> lossCause(
        const KnownTarget &target, const SteeredFlow &flow, const FlowState *state, TimePoint now) const;

    SteeringSettings m_settings;
    RouteTable m_routes;
    TargetDirectory m_targets;
    FlowMemory m_flows;
    SteeringCounters m_counters{};
    ServiceLoads m_loads;
    OpeningPatience m_openingPatience;
    std::size_t m_dataCentreInstances = 1;
    std::size_t m_allInstances = 1;
    TimePoint m_currentAt = TimePoint{};
    TimePoint m_loadedAt = TimePoint{}; ///< When the routes and targets were first complete.
    TimePoint m_cleanedUpAt = TimePoint{};
    bool m_isBacklogged = false;
};

} // namespace jasminequay
