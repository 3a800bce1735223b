// The time types that every library shares. Decision code receives a TimePoint as an argument and reads no
// clock.
#pragma once

#include <chrono>

namespace jasminequay
{

/// A span of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// A moment on the monotonic clock of one instance. Never compared across instances.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

} // namespace jasminequay
