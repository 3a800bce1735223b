// The monotonic clock, private to the Node library: the libraries below it get the time as an argument.
#pragma once

#include "jasminequay/Support/timepoint.h"

namespace jasminequay
{

/// Returns the current time of the monotonic clock.
inline TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

} // namespace jasminequay
