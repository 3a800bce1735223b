// Logs when the evacuation of a data centre begins and ends.
#pragma once

#include "jasminequay/Steering/targetdirectory.h"

#include <cstdint>
#include <set>
#include <string>

namespace jasminequay
{

/// Remembers which data centres were evacuated at the last call, so that only transitions are logged.
class EvacuationWatch
{
public:
    /// Logs the evacuations that began or ended since the last call.
    void logTransitions(const TargetDirectory &targets);

private:
    std::set<std::string> m_evacuated;
    std::uint64_t m_seenChanges = 0; ///< The change count of the table at the last call.
};

} // namespace jasminequay
