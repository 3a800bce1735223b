#include "jasminequay/Settings/servicepolicy.h"

#include "jasminequay/Support/enumnames.h"

namespace jasminequay
{

static constexpr EnumNames<PlacementPolicy, 3> PlacementPolicyNames{{{PlacementPolicy::Hash, "hash"},
    {PlacementPolicy::Bounded, "bounded"}, {PlacementPolicy::Least, "least"}}};

static constexpr EnumNames<Level, 4> LevelNames{{{Level::Default, "default"}, {Level::Group, "group"},
    {Level::DataCentre, "data-centre"}, {Level::Service, "service"}}};

std::string_view placementPolicyName(PlacementPolicy policy)
{
    return nameIn(PlacementPolicyNames, policy);
}

std::optional<PlacementPolicy> placementPolicyNamed(std::string_view name)
{
    return valueIn(PlacementPolicyNames, name);
}

std::string_view levelName(Level level)
{
    return nameIn(LevelNames, level);
}

} // namespace jasminequay
