// Which target a new flow gets.
#pragma once

#include "jasminequay/Steering/targetdirectory.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jasminequay
{

/// What a choice is made for.
struct ChoiceRequest {
    std::uint64_t flowHash = 0;
    std::uint64_t avoided = 0; ///< The key of a target that did not answer; zero for none.
    std::string dataCentre; ///< The instance's own.
    std::vector<std::string> full; ///< Data centres whose targets have no room; they are left out.
};

/// Chooses the target with the fewest flows for its slots among those that may take a new one; null where
/// none may. Targets of the own data centre come first unless they are much fuller. Suspects are avoided
/// unless they are most of the service; the rendezvous order breaks ties.
KnownTarget *chooseTarget(
    const std::vector<KnownTarget *> &targets, const ChoiceRequest &request, TimePoint now);

} // namespace jasminequay
