// Explains what an instance that steers by token does with a flow.
#pragma once

#include "commands.h"
#include "jasminequay/Steering/flowmemory.h"
#include "jasminequay/Support/failure.h"

#include <string>

namespace jasminequay
{

/// Fetches a page of a running instance; `instance` is its control address.
Result<std::string> fetchPage(Endpoint instance, const std::string &path);

/// Fetches what a running instance knows; `instance` is its control address.
Result<std::string> fetchDirectory(Endpoint instance);

/// Explains a flow by what an instance knows. `source` names the instance or file; NoToken stands for a new
/// flow.
Result<ExitCode> explainSteering(const std::string &encodedResponse, const std::string &source,
    const SteeredFlow &flow, SteeringToken token);

} // namespace jasminequay
