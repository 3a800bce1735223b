// The clocks of the process, private to the Node library: nothing below it reads one.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <cstdint>

namespace jasminequay
{

/// Returns the present moment on the monotonic clock.
inline TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

/// Returns the milliseconds since 1970, for records that other machines compare.
inline std::int64_t wallMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace jasminequay
