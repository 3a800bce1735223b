// What an instance remembers of the flows whose packets it has seen: a bounded cache. Losing an entry only
// loses evidence, as each packet carries its target's token.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Steering/steeringtoken.h"
#include "jasminequay/Support/hash.h"
#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <unordered_map>

namespace jasminequay
{

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

/// Hashes a flow for tables.
struct SteeredFlowHash {
    std::size_t operator()(const SteeredFlow &flow) const
    {
        return flow.hash();
    }
};

/// How far a flow has come, as its caller's packets show.
enum class FlowStage : std::uint8_t {
    Opening, ///< The caller has not acknowledged a target yet.
    Open,
    Ending, ///< The caller has sent its end.
};

/// What is remembered of a flow.
struct FlowState {
    std::uint64_t target = 0; ///< The key of its target.
    SteeringToken token = NoToken;
    std::uint32_t sentUpTo = 0; ///< The end of what the caller has sent.
    std::uint32_t acknowledged = 0; ///< What the caller has acknowledged.
    TimePoint seenAt; ///< When its last packet came.
    TimePoint progressAt; ///< When the caller last acknowledged something new.
    TimePoint sentAt; ///< When the caller last sent something new.
    TimePoint requestAt; ///< When the request under way began.
    std::uint8_t repeats = 0; ///< How often the caller repeated its data since.
    FlowStage stage = FlowStage::Opening;
    bool isAwaited = false; ///< Whether data was sent that nothing has come back for.
    bool isUnderWay = false; ///< Whether a request is counted at the target.
};

/// A bounded table of flows.
class FlowMemory
{
public:
    /// `capacity` bounds the number of flows.
    explicit FlowMemory(std::size_t capacity);

    /// Returns a flow; null if it is not remembered.
    FlowState *find(const SteeredFlow &flow);

    /// Returns a flow, a new one if it was not remembered. Where the table is full, another one is dropped
    /// and handed to `release` first.
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

    /// Drops a flow.
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
