// The page on which an instance explains where new flows of a route would go.
#pragma once

#include "jasminequay/Node/steeringcontrol.h"
#include "jasminequay/Platform/operatorserver.h"

#include <optional>
#include <string>
#include <string_view>

namespace jasminequay
{

/// The path of the page up to the address of the route, as in "/placement?address=198.18.0.1:443".
constexpr std::string_view PlacementPath = "/placement?address=";

/// Returns the page at a path as JSON; nothing for the paths of other pages. Status 400 means that the
/// address cannot be read, 404 that no route holds it.
std::optional<OperatorPage> placementPage(SteeringControl &control, std::string_view path, TimePoint now);

} // namespace jasminequay
