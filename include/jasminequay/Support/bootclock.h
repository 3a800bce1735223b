// The clock that goes on while the machine sleeps.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <ctime>

namespace jasminequay
{

/// Returns the time since the machine started, its suspensions included: what was believed before a
/// suspension is as old as it is.
inline TimePoint bootTime()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace jasminequay
