// Counts events over the last second. Uses no clock.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace jasminequay
{

/// The number of events in a sliding window that covers at least one second, in steps of 100 ms.
class SlidingCount
{
public:
    /// Adds `count` events that happened at `at`.
    void add(std::uint32_t count, TimePoint at);

    /// Returns the number of events in the window that ends at `now`.
    [[nodiscard]] std::uint32_t sum(TimePoint now) const;

    /// Removes all events.
    void clear()
    {
        m_steps = {};
    }

private:
    static constexpr std::size_t StepCount = 11;

    /// The events of one step of the window.
    struct Step {
        std::int64_t number = 0; ///< The number of the step since the epoch of the clock.
        std::uint32_t count = 0;
    };

    std::array<Step, StepCount> m_steps{};
};

} // namespace jasminequay
