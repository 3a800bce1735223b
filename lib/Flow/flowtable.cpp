#include "jasminequay/Flow/flowtable.h"

#include "jasminequay/Support/hash.h"

#include <bit>

namespace jasminequay
{

// The table has at least twice as many home slots as flows, and these extra slots after the last home slot,
// so that probing never wraps around.
constexpr std::size_t TailSlots = 256;

FlowTable::FlowTable(std::size_t capacity)
    : m_capacity(capacity)
    , m_mask(std::bit_ceil(capacity * 2) - 1)
    , m_slots(m_mask + 1 + TailSlots)
{
}

std::size_t FlowTable::homeSlot(FlowKey key) const
{
    return hashWords(key.packed, 0) & m_mask;
}

FlowEntry *FlowTable::find(FlowKey key)
{
    for (std::size_t slot = homeSlot(key); slot < m_slots.size(); ++slot) {
        FlowEntry &entry = m_slots[slot];
        if (entry.state == FlowState::Empty) {
            return nullptr;
        }
        if (entry.key == key) {
            return &entry;
        }
    }
    return nullptr;
}

FlowEntry *FlowTable::insert(FlowKey key)
{
    if (m_size >= m_capacity) {
        return nullptr;
    }
    for (std::size_t slot = homeSlot(key); slot < m_slots.size(); ++slot) {
        FlowEntry &entry = m_slots[slot];
        if (entry.state != FlowState::Empty) {
            continue;
        }
        entry = FlowEntry{};
        entry.key = key;
        entry.state = FlowState::Opening;
        ++m_size;
        return &entry;
    }
    return nullptr;
}

void FlowTable::erase(FlowEntry *entry)
{
    std::size_t hole = static_cast<std::size_t>(entry - m_slots.data());
    for (std::size_t slot = hole + 1; slot < m_slots.size(); ++slot) {
        FlowEntry &candidate = m_slots[slot];
        if (candidate.state == FlowState::Empty) {
            break;
        }
        if (homeSlot(candidate.key) <= hole) {
            m_slots[hole] = candidate;
            hole = slot;
        }
    }
    m_slots[hole] = FlowEntry{};
    --m_size;
}

void FlowTable::prefetch(FlowKey key) const
{
    __builtin_prefetch(&m_slots[homeSlot(key)]);
}

} // namespace jasminequay
