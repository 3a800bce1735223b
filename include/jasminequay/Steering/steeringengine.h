// Decides about each packet of a caller by the token that it carries. No clock, socket or thread.
#pragma once

#include "jasminequay/Steering/flowmemory.h"
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

/// The constants of an engine.
struct SteeringSettings {
    std::string dataCentre; ///< The instance's own.
    std::size_t flowCapacity = 65536;
    Duration flowLifetime = std::chrono::seconds(60); ///< A silent flow is forgotten after this time.
    /// How old the word of the store may be for a packet to be refused by it.
    Duration refusalAge = std::chrono::milliseconds(1500);
    DirectoryTiming directory;
    LoadLimits loadLimits;
};

/// What the engine asks of a packet, whatever its form.
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

/// The decisions of one instance. Every decision can be taken without memory: a flow's packets carry its
/// token. Memory adds evidence, and settles which of two targets that both answered keeps the flow.
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

    /// Notes whether the packets that come now waited while the instance slept. Their callers have sent
    /// copies since, and other instances have placed those: a second target's answer to an old opening packet
    /// would come when the flow is long open, and lead its packets astray.
    void setBacklogged(bool isBacklogged)
    {
        m_isBacklogged = isBacklogged;
    }

    /// Returns resets for open flows at targets that are lost, `limit` at most a call, and drops old flows.
    std::vector<PendingReset> sweep(TimePoint now, std::size_t limit);

    /// Notes until when the routes and targets known here are proved to be complete.
    void noteCurrent(TimePoint at);

    /// Returns until when the routes and targets known here are proved to be complete.
    [[nodiscard]] TimePoint currentAt() const
    {
        return m_currentAt;
    }

    /// Notes among how many instances the targets are shared, this one included: those of its data centre,
    /// and all.
    void noteInstances(std::size_t ofDataCentre, std::size_t all)
    {
        m_instances = std::max<std::size_t>(ofDataCentre, 1);
        m_allInstances = std::max<std::size_t>(all, m_instances);
    }

    /// The load of the targets of a service, by their data centre.
    using ServiceLoads = std::map<std::pair<std::string, std::string>, ServiceLoad, std::less<>>;

    /// Returns the load of each service that had answers.
    [[nodiscard]] const ServiceLoads &serviceLoads() const
    {
        return m_loads;
    }

    [[nodiscard]] RouteTable &routes()
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
    /// A target for a new flow.
    struct Placement {
        KnownTarget *target = nullptr;
        SteeringToken token = NoToken;
        bool isFull = false; ///< Whether there is none because those that there are have no room.
    };

    /// The requests of this instance at the targets of a service in a data centre.
    struct RequestsUnderWay {
        std::uint32_t count = 0;
        double slots = 0; ///< The requests that the targets run at a time, this instance's part of them.
    };

    SteeringDecision decideOpening(const PacketSummary &packet, TimePoint now);
    SteeringDecision decideLater(const PacketSummary &packet, TimePoint now);
    SteeringDecision decideUnknown(const PacketSummary &packet, TimePoint now);
    SteeringDecision forward(KnownTarget &target, SteeringToken token, SteeringCause cause);
    SteeringDecision refuse(SteeringCause cause, std::uint32_t sequence);
    SteeringDecision ignore(SteeringCause cause);
    Placement place(const Route &route, const PacketSummary &packet, std::uint64_t avoided, TimePoint now);
    KnownTarget *targetOf(const PacketSummary &packet, const FlowState *state);
    void learnFrom(const PacketSummary &packet, FlowState &state, KnownTarget &target, TimePoint now);
    void beginRequest(FlowState &state, KnownTarget &target, TimePoint now);
    void endRequest(const SteeredFlow &flow, FlowState &state, KnownTarget &target, TimePoint now);
    [[nodiscard]] bool admits(const Route &route, const TargetRecord &target, bool isSpilled, TimePoint now);
    [[nodiscard]] RequestsUnderWay underWayAt(const TargetRecord &target, TimePoint now);
    void bind(FlowState &state, KnownTarget &target, SteeringToken token);
    FlowState &remember(const SteeredFlow &flow);
    void release(FlowState &state);
    [[nodiscard]] bool isCurrent(TimePoint now) const;
    [[nodiscard]] bool mayBreakOff(const SteeredFlow &flow, const FlowState *state) const;
    [[nodiscard]] std::optional<SteeringCause> lossOf(
        const KnownTarget &target, const SteeredFlow &flow, const FlowState *state, TimePoint now) const;

    SteeringSettings m_settings;
    RouteTable m_routes;
    TargetDirectory m_targets;
    FlowMemory m_flows;
    SteeringCounters m_counters{};
    ServiceLoads m_loads;
    std::size_t m_instances = 1;
    std::size_t m_allInstances = 1;
    TimePoint m_currentAt = TimePoint{};
    TimePoint m_loadedAt = TimePoint{}; ///< When the first routes and targets were complete.
    TimePoint m_cleanedAt = TimePoint{};
    bool m_isBacklogged = false;
};

} // namespace jasminequay
