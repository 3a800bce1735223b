#include "jasminequay/Node/workerstats.h"

#include <bit>

namespace jasminequay
{

void WorkerStats::publish(const TrafficCounters &counters)
{
    const auto words = std::bit_cast<std::array<std::uint64_t, WordCount>>(counters);
    for (std::size_t index = 0; index < WordCount; ++index) {
        m_words[index].store(words[index], std::memory_order_relaxed);
    }
}

void WorkerStats::addTo(TrafficCounters &sum) const
{
    auto words = std::bit_cast<std::array<std::uint64_t, WordCount>>(sum);
    for (std::size_t index = 0; index < WordCount; ++index) {
        words[index] += m_words[index].load(std::memory_order_relaxed);
    }
    sum = std::bit_cast<TrafficCounters>(words);
}

} // namespace jasminequay
