#include "jasminequay/Steering/slidingcount.h"

namespace jasminequay
{

constexpr Duration StepLength = std::chrono::milliseconds(100);

static std::int64_t stepOf(TimePoint at)
{
    return at.time_since_epoch() / StepLength;
}

void SlidingCount::add(std::uint32_t count, TimePoint at)
{
    const std::int64_t number = stepOf(at);
    Step &step = m_steps[static_cast<std::size_t>(number) % StepCount];
    if (step.number > number) {
        return;
    }
    if (step.number < number) {
        step = {number, 0};
    }
    step.count += count;
}

std::uint32_t SlidingCount::sum(TimePoint now) const
{
    const std::int64_t oldest = stepOf(now) - static_cast<std::int64_t>(StepCount) + 1;
    std::uint32_t sum = 0;
    for (const Step &step : m_steps) {
        sum += step.number >= oldest ? step.count : 0;
    }
    return sum;
}

} // namespace jasminequay
