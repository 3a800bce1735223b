// Packet decisions of one traffic thread. The engine uses no clock, socket or thread: time, packets and
// messages are arguments, and actions are results, so that tests can replay every fault.
#pragma once

#include "jasminequay/Flow/decision.h"
#include "jasminequay/Flow/flowrecord.h"
#include "jasminequay/Flow/flowtable.h"
#include "jasminequay/Flow/ownershipview.h"
#include "jasminequay/Flow/peermessage.h"
#include "jasminequay/Flow/pendingqueries.h"
#include "jasminequay/Packet/packetview.h"
#include "jasminequay/Support/tokenbucket.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace jasminequay
{

/// The limits and timeouts of one engine.
struct EngineLimits {
    std::size_t flows = 1 << 16;
    std::uint32_t threads = 1; ///< The traffic threads that share the limits of a service.
    Duration cacheLease = std::chrono::seconds(
        10); ///< How long a cached binding is used before a packet is sent through the owner.
    Duration queryTimeout = std::chrono::milliseconds(30);
    std::uint32_t queryAttempts = 3;
    Duration closedLinger
        = std::chrono::seconds(25); ///< Longer than other instances use a cached binding (two leases).
    double queriesPerSecond = 5000;
    double replicaBytesPerSecond = 1024; ///< For replicas of exceptional flows sent to backups.
    double handoverBytesPerSecond = 256 * 1024; ///< For bindings handed over to a new owner.
};

/// A held packet whose query has completed, with its decision.
struct ReleasedPacket {
    std::vector<std::uint8_t> packet;
    Decision decision;
    InstanceId origin;
};

/// Counters of one engine for metrics and measurements.
struct EngineCounters {
    std::uint64_t placed = 0;
    std::uint64_t exceptions = 0; ///< Flows placed at a target other than the recovery target.
    std::uint64_t refused = 0;
    std::uint64_t relayed = 0; ///< Packets forwarded to another instance.
    std::uint64_t learned = 0; ///< Bindings learned from answers of targets.
    std::uint64_t recovered = 0; ///< Bindings received from peers by query, replica or handover.
    std::uint64_t fallbacks = 0; ///< Unknown flows sent to their recovery target.
    std::uint64_t queries = 0;
    std::uint64_t evicted = 0;
};

/// Decides about the packets of the flows that reach one traffic thread.
class FlowEngine
{
public:
    FlowEngine(InstanceId self, const EngineLimits &limits, TimePoint start);

    /// Replaces the routing snapshot.
    void applySnapshot(const RoutingSnapshot &snapshot);

    /// Sets the time until which the snapshot is valid; every packet after it is dropped. An instance that
    /// was paused resumes with an expired lease, so that it does not route by an outdated snapshot.
    void extendLease(TimePoint until);

    /// Decides about a packet from the callers' side. `origin` is the peer that forwarded it; zero if it came
    /// from the fabric. `hops` says how often instances have forwarded it.
    Decision onCallerPacket(const PacketView &packet, InstanceId origin, std::uint8_t hops, TimePoint now);

    /// Decides about a packet from the targets' side.
    Decision onTargetPacket(const PacketView &packet, InstanceId origin, std::uint8_t hops, TimePoint now);

    /// Handles a binding message from a peer.
    void onBinding(InstanceId from, const BindingMessage &message, TimePoint now);

    /// Checks at most `slots` table slots: expires, records, replicates and hands over their entries. Called
    /// periodically.
    void sweep(std::size_t slots, TimePoint now);

    /// Writes a record of every flow that has counted packets; called before the instance exits.
    void flushRecords();

    /// Returns the settings version for which every entry has been checked and, where needed, shared.
    [[nodiscard]] std::uint64_t sweptVersion() const
    {
        return m_sweptVersion;
    }

    /// Returns the number of bindings that wait to be handed over to their new owner.
    [[nodiscard]] std::size_t waitingHandovers() const
    {
        return m_waitingHandovers;
    }

    /// Returns the number of flows in the table.
    [[nodiscard]] std::size_t flows() const
    {
        return m_table.size();
    }

    [[nodiscard]] const EngineCounters &counters() const
    {
        return m_counters;
    }

    /// Returns and clears the messages to send.
    std::vector<OutgoingBinding> takeOutbox()
    {
        return std::exchange(m_outbox, {});
    }

    /// Returns and clears the connection records to write.
    std::vector<FlowRecord> takeRecords()
    {
        return std::exchange(m_records, {});
    }

    /// Returns and clears the held packets whose queries have completed.
    std::vector<ReleasedPacket> takeReleased()
    {
        return std::exchange(m_released, {});
    }

private:
    /// The flow of a packet with its service and owner.
    struct FlowContext {
        const ServiceTable *service = nullptr;
        FlowTuple tuple;
        FlowKey key;
        std::uint64_t hash = 0;
        InstanceId owner;
    };

    /// Limits the rate of new flows of one service. Replaced when the limit in the settings changes.
    struct NewFlowBucket {
        NewFlowBucket(double flowsPerSecond, TimePoint now)
            : rate(flowsPerSecond)
            , bucket(flowsPerSecond, std::max(flowsPerSecond, 1.0), now)
        {
        }

        double rate;
        TokenBucket bucket;
    };

    /// The progress of one sweep pass through the table.
    struct SweepPass {
        std::size_t position = 0;
        TimePoint startedAt;
        std::uint64_t number = 0;
        std::uint64_t version = 0; ///< The settings version in force when the pass started.
        bool isRecheck = false; ///< Whether the snapshot changed since the previous pass.
        std::size_t deferredHandovers = 0;
    };

    // callerpath.cpp
    Decision decideAsOwner(
        const PacketView &packet, const FlowContext &flow, InstanceId origin, TimePoint now);
    Decision decideUnknown(
        const PacketView &packet, const FlowContext &flow, InstanceId origin, TimePoint now);
    Decision placeNewFlow(const PacketView &packet, const FlowContext &flow, TimePoint now);
    Decision resumeUnknownFlow(const PacketView &packet, const FlowContext &flow, TimePoint now);
    [[nodiscard]] Decision refuse(const FlowContext &flow, DropCause cause, TimePoint now) const;
    Decision recordIfRefused(const Decision &decision, const FlowContext &flow);
    std::optional<Decision> useBinding(
        FlowEntry &entry, const PacketView &packet, const FlowContext &flow, TimePoint now);
    Decision relay(const FlowContext &flow, std::uint8_t hops);
    [[nodiscard]] bool mayHaveBeenPlaced(const FlowContext &flow, TimePoint now) const;
    [[nodiscard]] static Duration retransmitWindow(const ServiceTable &service);
    [[nodiscard]] bool hasInvalidTarget(const FlowEntry &entry, const FlowContext &flow) const;
    bool admitsNewFlow(const ServiceTable &service, TimePoint now);
    [[nodiscard]] const TargetEntry *selectNewTarget(
        const FlowContext &flow, TimePoint now, DropCause &cause) const;

    // targetpath.cpp
    Decision acceptAnswer(FlowEntry &entry, const PacketView &packet, const FlowContext &flow,
        const TargetPlace &place, TimePoint now);
    FlowEntry *learnBinding(
        const PacketView &packet, const FlowContext &flow, const TargetPlace &place, TimePoint now);
    [[nodiscard]] bool mustRelayToOwner(
        const PacketView &packet, const FlowContext &flow, const FlowEntry *entry) const;

    // bindings.cpp
    [[nodiscard]] FlowContext contextOf(const ServiceTable &service, Endpoint caller) const;
    [[nodiscard]] Duration cacheLease(const ServiceTable &service) const;
    [[nodiscard]] bool isExpiredCacheEntry(
        const FlowEntry &entry, const ServiceTable &service, TimePoint now) const;
    [[nodiscard]] const ServiceTable *tableOf(ServiceId id) const;
    [[nodiscard]] Endpoint addressOf(TargetId id) const;
    FlowEntry *insertEntry(const FlowContext &flow, TargetId target, FlowState state, TimePoint now);
    [[nodiscard]] bool exceedsShare(const ServiceTable &service) const;
    std::uint32_t &ownedFlowCount(ServiceId service);
    bool evictOne(bool mayEvictHalfOpen, TimePoint now);
    void takeOwnership(FlowEntry &entry, const FlowContext &flow);
    void releaseOwnership(FlowEntry &entry);
    void markException(FlowEntry &entry, const FlowContext &flow);
    void rebind(FlowEntry &entry, TargetId target, const FlowContext &flow);
    void close(FlowEntry &entry, EndCause cause);
    void removeEntry(FlowEntry &entry, EndCause cause);
    void applyTcpFlags(FlowEntry &entry, TcpFlags flags, bool isFromCaller);
    void countPacket(FlowEntry &entry, const PacketView &packet, bool isFromCaller, TimePoint now);
    void writeRecord(FlowEntry &entry, EndCause cause);
    void recordUntracked(
        const PacketView &packet, const FlowContext &flow, Endpoint target, bool isFromCaller);
    void retainRemoved(const Catalogue &before, const Catalogue &after);

    // transfer.cpp
    bool startQuery(const PacketView &packet, const FlowContext &flow, InstanceId origin, TimePoint now);
    void sendQueries(const PendingQuery &query, const FlowTuple &flow);
    void onNotFound(InstanceId from, FlowKey key, TimePoint now);
    void expireQuery(FlowKey key, TimePoint now);
    void finishQuery(FlowKey key, TimePoint now);
    void replyToQuery(InstanceId from, const FlowContext &flow);
    void storeBinding(const BindingMessage &message, const FlowContext &flow, TimePoint now);
    void sendBinding(InstanceId to, BindingKind kind, const FlowEntry &entry, const FlowContext &flow);
    void broadcastBinding(BindingKind kind, const FlowEntry &entry, const FlowContext &flow);
    void replicate(FlowEntry &entry, const FlowContext &flow, TimePoint now);
    void handOver(FlowEntry &entry, const FlowContext &flow, TimePoint now);

    // sweep.cpp
    void beginPass(TimePoint now);
    void endPass();
    void sweepEntry(FlowEntry &entry, TimePoint now);
    void recheckOwnership(FlowEntry &entry, const FlowContext &flow, TimePoint now);
    void shareNonRepeatable(const FlowEntry &entry, const FlowContext &flow);
    [[nodiscard]] std::optional<EndCause> expiryOf(
        const FlowEntry &entry, const ServiceTable &service, Tick now) const;

    [[nodiscard]] Tick tickAt(TimePoint now) const;
    [[nodiscard]] static Tick ticks(Duration duration);

    InstanceId m_self;
    EngineLimits m_limits;
    TimePoint m_start;
    TimePoint m_leaseUntil;
    RoutingSnapshot m_routing;
    FlowTable m_table;
    PendingQueries m_queries;
    TokenBucket m_queryBudget;
    TokenBucket m_replicaBudget;
    TokenBucket m_handoverBudget;
    std::map<ServiceId, NewFlowBucket> m_newFlowBuckets;
    EngineCounters m_counters;
    SweepPass m_pass;
    std::size_t m_evictionCursor = 0;
    std::vector<std::uint32_t>
        m_ownedByService; ///< The number of owned flows that have not ended, by service ID.
    std::uint64_t m_sweptVersion = 0;
    std::size_t m_waitingHandovers = 0;
    bool m_needsRecheck = false;
    std::map<ServiceId, Catalogue::TablePointer>
        m_removedServices; ///< Needed for the last records of their flows.
    std::map<TargetId, Endpoint> m_removedTargets;
    std::vector<OutgoingBinding> m_outbox;
    std::vector<FlowRecord> m_records;
    std::vector<ReleasedPacket> m_released;
};

} // namespace jasminequay
