// The counters of one traffic thread, readable from other threads.
#pragma once

#include "jasminequay/Flow/flowengine.h"
#include "jasminequay/Packet/dropcause.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace jasminequay
{

/// A snapshot of the counters of packets and bytes by outcome.
struct TrafficCounters {
    std::uint64_t packetsToTargets = 0;
    std::uint64_t packetsToCallers = 0;
    std::uint64_t packetsToPeers = 0;
    std::uint64_t bytesToTargets = 0;
    std::uint64_t bytesToCallers = 0;
    std::uint64_t fabricPackets = 0; ///< Packets received from the fabric, without those from peers.
    std::uint64_t flows = 0;
    std::uint64_t waitingHandovers = 0;
    EngineCounters engine;
    std::array<std::uint64_t, DropCauseCount> drops{};
};

/// Publishes the counters of a traffic thread, once per batch. Each counter is read atomically, but counters
/// read together may stem from different batches.
class WorkerStats
{
public:
    /// Publishes the counters; called on the traffic thread.
    void publish(const TrafficCounters &counters);

    /// Adds the published counters to a sum; called on any thread.
    void addTo(TrafficCounters &sum) const;

private:
    static constexpr std::size_t WordCount = sizeof(TrafficCounters) / sizeof(std::uint64_t);
    static_assert(sizeof(TrafficCounters) % sizeof(std::uint64_t) == 0,
        "TrafficCounters must consist of whole 64-bit words");

    std::array<std::atomic<std::uint64_t>, WordCount> m_words{};
};

} // namespace jasminequay
