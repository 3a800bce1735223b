// Explains where new flows of a route would go at a running instance.
#pragma once

#include "commands.h"
#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Support/failure.h"

#include <string>

namespace jasminequay
{

/// Prints where new flows of a route would go now, and why, as text or as the JSON of the instance. `route`
/// is the name or the address of the route, `instance` the control address. Nothing is sent to a target.
Result<ExitCode> explainRoute(Endpoint instance, const std::string &route, bool isJson);

} // namespace jasminequay
