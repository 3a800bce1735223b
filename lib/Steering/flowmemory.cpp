#include "jasminequay/Steering/flowmemory.h"

#include <cassert>

namespace jasminequay
{

FlowMemory::FlowMemory(std::size_t capacity)
    : m_capacity(capacity)
{
    assert(capacity > 0 && "the flow table must hold at least one flow");
}

FlowState *FlowMemory::find(const SteeredFlow &flow)
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : &found->second;
}

void FlowMemory::erase(const SteeredFlow &flow)
{
    m_flows.erase(flow);
}

} // namespace jasminequay
