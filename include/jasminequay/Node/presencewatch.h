// Logs when targets are taken for ended, and why, and when they are listed again.
#pragma once

#include "jasminequay/Steering/targetdirectory.h"

#include <cstdint>
#include <set>

namespace jasminequay
{

/// Remembers which targets counted as ended at the last call, so that only transitions are logged.
class PresenceWatch
{
public:
    /// Logs the targets that have ended or returned since the last call.
    void logTransitions(TargetDirectory &targets);

private:
    std::set<std::uint64_t> m_ended; ///< The keys of the targets that have been logged as ended.
};

} // namespace jasminequay
