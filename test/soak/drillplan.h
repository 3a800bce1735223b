// What the operators of a run do beside the faults, drawn from its seed.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jasminequay::soak
{

/// An action of the operators.
enum class DrillKind : std::uint8_t {
    EvacuationBegun,
    EvacuationEnded,
    StoreCopied,
    StoreRestored, ///< The store goes back to the last copy, in a new era.
};

/// One action.
struct Drill {
    Duration at = {}; ///< Since the run started.
    DrillKind kind = DrillKind::EvacuationBegun;
    std::string dataCentre; ///< For evacuations.
};

/// Draws the actions of a run between two moments, in order. The last evacuation ends by the second one.
std::vector<Drill> drawDrills(std::uint64_t seed, Duration from, Duration to);

/// Prints an action as one line.
std::string describe(const Drill &drill);

} // namespace jasminequay::soak
