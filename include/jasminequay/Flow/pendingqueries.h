// Pending queries to the peers for the bindings of flows, each with the packet that caused it.
#pragma once

#include "jasminequay/Flow/flowentry.h"
#include "jasminequay/Placement/instanceid.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace jasminequay
{

/// A query that waits for replies from peers.
struct PendingQuery {
    FlowKey key;
    TimePoint deadline;
    std::vector<InstanceId> awaited; ///< The peers that have not replied.
    std::uint32_t attempts = 1;
    InstanceId origin; ///< The peer that forwarded the packet; zero if it came from the fabric.
    std::vector<std::uint8_t> packet;
};

/// A bounded set of queries, at most one per flow.
class PendingQueries
{
public:
    /// Returns the query of a flow; null if there is none.
    [[nodiscard]] PendingQuery *find(FlowKey key);

    /// Adds a query; returns false if the limit is reached or the flow has one already.
    bool add(PendingQuery query);

    /// Removes a query and returns it.
    PendingQuery take(FlowKey key);

    /// Returns the flows whose deadline has passed.
    [[nodiscard]] std::vector<FlowKey> expired(TimePoint now) const;

    [[nodiscard]] std::size_t size() const
    {
        return m_queries.size();
    }

private:
    std::unordered_map<std::uint64_t, PendingQuery> m_queries;
};

} // namespace jasminequay
