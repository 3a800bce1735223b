// Reading of the platform's list of instances.
#pragma once

#include "jasminequay/Membership/instancelist.h"
#include "jasminequay/Support/failure.h"

#include <string>

namespace jasminequay
{

/// Parses the list; fails with the platform named for anything that is not one.
Result<InstanceList> parseInstanceList(const std::string &text, const std::string &platform);

} // namespace jasminequay
