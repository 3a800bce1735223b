// Logs when the targets of a service become overloaded and when they recover.
#pragma once

#include "jasminequay/Steering/steeringengine.h"

#include <set>
#include <string>
#include <utility>

namespace jasminequay
{

/// Remembers which services were overloaded when it last looked.
class LoadWatch
{
public:
    /// Logs what has changed.
    void look(const SteeringEngine &engine, TimePoint now);

private:
    std::set<std::pair<std::string, std::string>> m_overloaded; ///< Services with their data centres.
};

} // namespace jasminequay
