// Checks across the services of a tree, private to the Settings library.
#pragma once

#include "jasminequay/Settings/configuration.h"
#include "jasminequay/Settings/mistake.h"

namespace jasminequay
{

/// Reports addresses and targets that two services hold, within the whole tree.
void checkExclusiveAddresses(const Configuration &configuration, Mistakes &mistakes);

} // namespace jasminequay
