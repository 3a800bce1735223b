// The bounded table of bindings of one traffic thread.
#pragma once

#include "jasminequay/Flow/flowentry.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace jasminequay
{

/// An open-addressing hash table with linear probing and without tombstones. Pointers to entries stay valid
/// until the next insert or erase.
class FlowTable
{
public:
    /// Holds up to `capacity` flows.
    explicit FlowTable(std::size_t capacity);

    /// Returns the entry of a flow; null if there is none.
    [[nodiscard]] FlowEntry *find(FlowKey key);

    /// Returns a new entry for a flow that has none; null if the table is full.
    FlowEntry *insert(FlowKey key);

    /// Removes an entry.
    void erase(FlowEntry *entry);

    /// Prefetches the first cache line of a flow's home slot, ahead of find().
    void prefetch(FlowKey key) const;

    [[nodiscard]] std::size_t size() const
    {
        return m_size;
    }

    [[nodiscard]] std::size_t capacity() const
    {
        return m_capacity;
    }

    /// Returns the slots, for sweeps. Erasing moves entries to lower slots only, so a sweep from the highest
    /// slot to the lowest misses no entry.
    [[nodiscard]] std::vector<FlowEntry> &slots()
    {
        return m_slots;
    }

private:
    [[nodiscard]] std::size_t homeSlot(FlowKey key) const;

    std::size_t m_capacity;
    std::size_t m_mask;
    std::size_t m_size = 0;
    std::vector<FlowEntry> m_slots;
};

} // namespace jasminequay
