// The time of day, for logs and records that other machines compare. Nothing is decided by it.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <chrono>
#include <cstdint>

namespace jasminequay
{

/// Returns the milliseconds since 1970.
inline std::int64_t wallMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

/// A time of day that can be stepped, so that tests of whole processes show what a wrong clock does.
class WallClock
{
public:
    /// `offset` is added to the machine's time of day.
    explicit WallClock(Duration offset)
        : m_offset(offset)
    {
    }

    /// Steps the clock.
    void setOffset(Duration offset)
    {
        m_offset = offset;
    }

    /// Returns the milliseconds since 1970.
    [[nodiscard]] std::int64_t milliseconds() const
    {
        return wallMilliseconds() + std::chrono::duration_cast<std::chrono::milliseconds>(m_offset).count();
    }

private:
    Duration m_offset;
};

} // namespace jasminequay
