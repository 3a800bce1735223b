// Logs when the targets of a service become overloaded and when they recover.
#pragma once

#include "jasminequay/Steering/steeringengine.h"

#include <set>
#include <string>
#include <utility>

namespace jasminequay
{

/// Remembers which services were overloaded at the last call, so that only transitions are logged.
class LoadWatch
{
public:
    /// Logs the services that became overloaded or recovered since the last call.
    void logTransitions(const SteeringEngine &engine, TimePoint now);

private:
    std::set<std::pair<std::string, std::string>> m_overloaded; ///< Pairs of service and data centre.
};

} // namespace jasminequay
