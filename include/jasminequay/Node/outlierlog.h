// Logs when targets are ejected and readmitted.
#pragma once

#include "jasminequay/Steering/steeringengine.h"

namespace jasminequay
{

/// Logs the changes of ejected targets, with a bounded number of lines per second.
class OutlierLog
{
public:
    /// Logs the changes since the last call. Those that exceed the bound appear in the counters only.
    void logTransitions(SteeringEngine &engine, TimePoint now);

private:
    SlidingCount m_lines;
};

} // namespace jasminequay
