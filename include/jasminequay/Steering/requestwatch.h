// Finds the requests and openings that have had no answer for some time. Uses no clock.
#pragma once

#include "jasminequay/Steering/flowmemory.h"

#include <deque>
#include <vector>

namespace jasminequay
{

/// The requests that were sent recently, in their order. Answered ones remain until they are taken, so that
/// an answer costs nothing and a check only looks at the oldest ones.
class RequestWatch
{
public:
    /// A request or opening of a flow.
    struct Entry {
        SteeredFlow flow;
        TimePoint sentAt;
    };

    /// Adds a request that was sent at `sentAt`, which never decreases. The oldest ones are dropped while
    /// there are too many.
    void add(const SteeredFlow &flow, TimePoint sentAt);

    /// Removes and returns the requests that were sent at least `age` before `now`.
    [[nodiscard]] std::vector<Entry> takeOlderThan(Duration age, TimePoint now);

    void clear()
    {
        m_entries.clear();
    }

private:
    std::deque<Entry> m_entries;
};

} // namespace jasminequay
