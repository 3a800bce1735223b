// The clocks of the process, private to the Node library: nothing below it reads one.
#pragma once

#include "jasminequay/Support/timepoint.h"

namespace jasminequay
{

/// Returns the present moment on the monotonic clock.
inline TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

} // namespace jasminequay
