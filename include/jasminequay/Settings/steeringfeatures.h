// Decisions that a deployment asks for in its settings.
#pragma once

#include <string_view>

namespace jasminequay
{

/// Optional behaviour of an instance that steers by token. All of it is off unless the settings name it.
struct SteeringFeatures {
    /// Targets whose requests fail or hang get no new flows, whatever their health checks say.
    bool ejectsOutliers = false;
    /// When targets turn requests away, new flows are admitted by the priority of their routes.
    bool admitsByPriority = false;
};

/// Enables the feature with a name; returns whether there is one with this name.
bool enableFeature(SteeringFeatures &features, std::string_view name);

} // namespace jasminequay
