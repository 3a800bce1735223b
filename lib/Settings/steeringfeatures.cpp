#include "jasminequay/Settings/steeringfeatures.h"

#include <array>
#include <utility>

namespace jasminequay
{

static constexpr std::array<std::pair<std::string_view, bool SteeringFeatures::*>, 2> FeatureNames{{
    {"health", &SteeringFeatures::ejectsOutliers},
    {"pressure", &SteeringFeatures::admitsByPriority},
}};

bool enableFeature(SteeringFeatures &features, std::string_view name)
{
    for (const auto &[featureName, isEnabled] : FeatureNames) {
        if (featureName == name) {
            features.*isEnabled = true;
            return true;
        }
    }
    return false;
}

} // namespace jasminequay
