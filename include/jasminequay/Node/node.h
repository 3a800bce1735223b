// Runs one instance as a process: a control thread and its traffic threads.
#pragma once

#include "jasminequay/Settings/instancesettings.h"
#include "jasminequay/Support/failure.h"

#include <cstdint>
#include <string>

namespace jasminequay
{

/// Why an instance ended.
enum class NodeExitReason : std::uint8_t {
    Drained, ///< Every flow had ended or was handed over.
    Deadline, ///< The drain deadline passed.
    Interrupted, ///< A second signal arrived during the drain.
};

/// Runs an instance until it receives a stop signal. If `treeFile` is not empty, the settings tree is read
/// from this file and not from the platform.
Result<NodeExitReason> runNode(const InstanceSettings &settings, const std::string &treeFile);

} // namespace jasminequay
