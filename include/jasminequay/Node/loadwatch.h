// Logs when the targets of a service become overloaded or short of capacity, and when they recover.
#pragma once

#include "jasminequay/Steering/steeringengine.h"

#include <set>
#include <string>
#include <utility>

namespace jasminequay
{

/// Remembers the state of each service at the last call, so that only transitions are logged.
class LoadWatch
{
public:
    /// Logs the services that became overloaded, whose new flows began to be limited by priority, or that
    /// recovered since the last call.
    void logTransitions(const SteeringEngine &engine, TimePoint now);

private:
    void logAdmission(const SteeringEngine &engine, TimePoint now);

    using Keys = std::set<std::pair<std::string, std::string>>; ///< Pairs of service and data centre.

    Keys m_overloaded;
    Keys m_limited;
};

} // namespace jasminequay
