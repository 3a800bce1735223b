#include "jasminequay/Settings/targetstate.h"

#include "jasminequay/Support/enumnames.h"

namespace jasminequay
{

static constexpr EnumNames<TargetState, 3> TargetStateNames{
    {{TargetState::Serving, "serving"}, {TargetState::Draining, "draining"}, {TargetState::Cold, "cold"}}};

std::string_view targetStateName(TargetState state)
{
    return nameIn(TargetStateNames, state);
}

std::optional<TargetState> targetStateNamed(std::string_view name)
{
    return valueIn(TargetStateNames, name);
}

} // namespace jasminequay
