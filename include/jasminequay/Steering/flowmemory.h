// A bounded cache of the flows whose packets an instance has seen. Losing an entry only loses evidence about
// the target, as each packet carries its target's token.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Steering/steeringtoken.h"
#include "jasminequay/Support/hash.h"
#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <unordered_map>

namespace jasminequay
{

/// A caller retransmits data and opening packets after 200 ms at the earliest; anything that arrives again
/// sooner is a duplicated datagram.
constexpr Duration MinimumRetransmissionInterval = std::chrono::milliseconds(120);

/// The two ends of a flow, as its caller sees them.
struct SteeredFlow {
    Endpoint caller;
    Endpoint service;

    bool operator==(const SteeredFlow &) const = default;

    /// Returns a hash that all instances agree on.
    [[nodiscard]] std::uint64_t hash() const
    {
        return hashWords(caller.packed(), service.packed());
    }
};

/// Hashes a flow for hash tables.
struct SteeredFlowHash {
    std::size_t operator()(const SteeredFlow &flow) const
    {
        return flow.hash();
    }
};

/// The stage of a flow, derived from its caller's packets.
enum class FlowStage : std::uint8_t {
    Opening, ///< The caller has not acknowledged a target's answer yet.
    Open,
    Ending, ///< The caller has closed its side of the flow.
};

/// The state kept for a flow.
struct FlowState {
    std::uint64_t target = 0; ///< The key of its target.
    SteeringToken token = NoToken;
    std::uint32_t sentEnd = 0; ///< The sequence number after the last byte that the caller has sent.
    std::uint32_t acknowledged = 0; ///< The highest sequence number that the caller has acknowledged.
    TimePoint seenAt; ///< When its last packet arrived.
    TimePoint progressAt; ///< When the caller last acknowledged something new.
    TimePoint sentAt; ///< When the caller last sent or retransmitted something.
    TimePoint requestStartedAt; ///< When the request in flight began.
    std::uint8_t retransmissions = 0; ///< Retransmissions by the caller since new data or progress.
    FlowStage stage = FlowStage::Opening;
    bool isResponsePending = false; ///< Whether the caller has sent data and no response has arrived yet.
    bool isRequestInFlight = false; ///< Whether a request of this flow is counted at the target.
    bool isEndCounted = false; ///< Whether its end is counted at the target.
    bool isOverdue = false; ///< Whether the latest opening or request has been counted as overdue.
};

/// A bounded table of flows.
class FlowMemory
{
public:
    /// `capacity` bounds the number of flows.
    explicit FlowMemory(std::size_t capacity);

    /// Returns the state of a flow; null if there is none.
    FlowState *find(const SteeredFlow &flow);

    /// Returns the state of a flow and creates it if there is none. If the table is full, another flow is
    /// evicted; its state is passed to `release` first.
    template <typename Release> FlowState &at(const SteeredFlow &flow, Release release)
    {
        if (FlowState *const known = find(flow)) {
            return *known;
        }
        if (m_flows.size() >= m_capacity) {
            const auto dropped = m_flows.begin();
            release(dropped->second);
            m_flows.erase(dropped);
        }
        return m_flows[flow];
    }

    /// Removes a flow.
    void erase(const SteeredFlow &flow);

    using Table = std::unordered_map<SteeredFlow, FlowState, SteeredFlowHash>;

    [[nodiscard]] Table &flows()
    {
        return m_flows;
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_flows.size();
    }

private:
    std::size_t m_capacity;
    Table m_flows;
};

} // namespace jasminequay
