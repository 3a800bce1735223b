// The evacuation of a data centre as the store publishes it.
#pragma once

#include <cstdint>
#include <string>

namespace jasminequay
{

/// Whether the targets of a data centre may get new flows, as of a revision of the store.
struct EvacuationRecord {
    std::string dataCentre;
    std::uint64_t revision = 0; ///< The store revision of the entry, or of its removal.
    bool isActive = false; ///< Whether new flows are kept away; otherwise the evacuation has ended.

    bool operator==(const EvacuationRecord &) const = default;
};

} // namespace jasminequay
