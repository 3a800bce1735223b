// Logs when targets are ejected and readmitted.
#pragma once

#include "jasminequay/Steering/steeringengine.h"

namespace jasminequay
{

/// Logs the changes of ejected targets, with a bounded number of lines per second.
class OutlierLog
{
public:
    /// Logs the changes since the last call.
    void logTransitions(SteeringEngine &engine, TimePoint now);

    /// Returns the number of changes that were not logged because there were too many.
    [[nodiscard]] std::uint64_t unlogged() const
    {
        return m_unlogged;
    }

private:
    SlidingCount m_lines;
    std::uint64_t m_unlogged = 0;
};

} // namespace jasminequay
