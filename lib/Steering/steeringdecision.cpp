#include "jasminequay/Steering/steeringdecision.h"

#include "jasminequay/Support/enumnames.h"

namespace jasminequay
{

static constexpr EnumNames<SteeringAction, 3> SteeringActionNames{{
    {SteeringAction::Forward, "forward"},
    {SteeringAction::Reset, "reset"},
    {SteeringAction::Drop, "drop"},
}};

static constexpr EnumNames<SteeringCause, SteeringCauseCount> SteeringCauseNames{{
    {SteeringCause::Placed, "placed"},
    {SteeringCause::PlacedAgain, "placed-again"},
    {SteeringCause::ByMemory, "by-memory"},
    {SteeringCause::ByToken, "by-token"},
    {SteeringCause::NoRoute, "no-route"},
    {SteeringCause::RouteDropped, "route-dropped"},
    {SteeringCause::RouteUncertain, "route-uncertain"},
    {SteeringCause::NoTarget, "no-target"},
    {SteeringCause::TargetGone, "target-gone"},
    {SteeringCause::TargetDead, "target-dead"},
    {SteeringCause::TargetUnreachable, "target-unreachable"},
    {SteeringCause::TokenUnknown, "token-unknown"},
    {SteeringCause::OpeningStale, "opening-stale"},
    {SteeringCause::TokenUncertain, "token-uncertain"},
    {SteeringCause::ServiceFull, "service-full"},
    {SteeringCause::Evacuated, "evacuated"},
}};

std::string_view steeringActionName(SteeringAction action)
{
    return nameIn(SteeringActionNames, action);
}

std::string_view steeringCauseName(SteeringCause cause)
{
    return nameIn(SteeringCauseNames, cause);
}

} // namespace jasminequay
