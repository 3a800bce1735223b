#include "jasminequay/Flow/pendingqueries.h"

#include <cassert>
#include <utility>

namespace jasminequay
{

constexpr std::size_t MaximumQueries = 4096;

PendingQuery *PendingQueries::find(FlowKey key)
{
    const auto found = m_queries.find(key.packed);
    return found == m_queries.end() ? nullptr : &found->second;
}

bool PendingQueries::add(PendingQuery query)
{
    if (m_queries.size() >= MaximumQueries) {
        return false;
    }
    const std::uint64_t key = query.key.packed;
    return m_queries.emplace(key, std::move(query)).second;
}

PendingQuery PendingQueries::take(FlowKey key)
{
    const auto found = m_queries.find(key.packed);
    assert(found != m_queries.end() && "only a pending query can be taken");
    PendingQuery query = std::move(found->second);
    m_queries.erase(found);
    return query;
}

std::vector<FlowKey> PendingQueries::expired(TimePoint now) const
{
    std::vector<FlowKey> keys;
    for (const auto &[key, query] : m_queries) {
        if (query.deadline <= now) {
            keys.push_back(query.key);
        }
    }
    return keys;
}

} // namespace jasminequay
