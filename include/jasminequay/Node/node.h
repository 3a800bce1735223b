// One instance as a process: the control thread, its traffic threads and their wiring.
#pragma once

#include "jasminequay/Settings/instancesettings.h"
#include "jasminequay/Support/failure.h"

#include <cstdint>
#include <string>

namespace jasminequay
{

/// How an instance ended.
enum class NodeExitReason : std::uint8_t {
    Drained, ///< Every flow was handed over or had ended.
    Deadline, ///< The drain deadline passed.
    Interrupted, ///< A second signal came.
};

/// Runs an instance until it is told to stop. `treeFile` takes the platform's place if it is not empty.
Result<NodeExitReason> runNode(const InstanceSettings &settings, const std::string &treeFile);

} // namespace jasminequay
