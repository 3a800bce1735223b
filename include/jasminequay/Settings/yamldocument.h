// Loading of a YAML text into nodes.
#pragma once

#include "jasminequay/Settings/mistake.h"

#include <yaml-cpp/yaml.h>

#include <optional>
#include <string>

namespace jasminequay
{

/// Loads one document; on failure adds a mistake and returns nothing. Exceptions of the parser end here.
std::optional<YAML::Node> loadDocument(const std::string &text, std::size_t maximumSize, Mistakes &mistakes);

} // namespace jasminequay
