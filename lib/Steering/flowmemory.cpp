#include "jasminequay/Steering/flowmemory.h"

#include <cassert>

namespace jasminequay
{

FlowMemory::FlowMemory(std::size_t capacity)
    : m_capacity(capacity)
{
    assert(capacity > 0 && "a flow memory holds at least one flow");
}

FlowState *FlowMemory::find(const SteeredFlow &flow)
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : &found->second;
}

FlowState &FlowMemory::at(const SteeredFlow &flow)
{
    if (FlowState *const known = find(flow)) {
        return *known;
    }
    if (m_flows.size() >= m_capacity) {
        m_flows.erase(m_flows.begin());
    }
    return m_flows[flow];
}

void FlowMemory::erase(const SteeredFlow &flow)
{
    m_flows.erase(flow);
}

} // namespace jasminequay
