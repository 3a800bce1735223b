// An entry of the flow table: the binding of a flow to its target and its traffic counters, in 40 bytes.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Placement/servicetable.h"

#include <cstdint>

namespace jasminequay
{

/// The state of a flow as seen by one instance.
enum class FlowState : std::uint8_t {
    Empty,
    Opening, ///< Placed, but the target has not answered yet.
    Established,
    Closed, ///< Ended; the entry is kept for late packets.
};

/// Flags of an entry.
enum class FlowMark : std::uint8_t {
    Owned = 1, ///< This instance owns the flow and counts it in the load of its target.
    Exceptional = 2, ///< The target cannot be recomputed from the service table.
    Replicated = 4, ///< The binding has been sent to the backup.
    Backup = 8, ///< Kept as a replica in case the owner fails.
    CallerClosed = 16,
    TargetClosed = 32,
};

/// The key of an entry: the caller and the service ID.
struct FlowKey {
    std::uint64_t packed = 0;

    bool operator==(const FlowKey &) const = default;

    static FlowKey of(Endpoint caller, ServiceId service)
    {
        return {(caller.packed() << 16) | service};
    }

    [[nodiscard]] Endpoint caller() const
    {
        return {{static_cast<std::uint32_t>(packed >> 32)}, static_cast<std::uint16_t>(packed >> 16)};
    }

    [[nodiscard]] ServiceId service() const
    {
        return static_cast<ServiceId>(packed);
    }
};

/// A point in time, in ticks of 1/256 s since the engine started.
using Tick = std::uint32_t;

/// A binding and its counters since the last connection record.
struct FlowEntry {
    FlowKey key;
    TargetId target = 0;
    Tick lastSeen = 0;
    Tick confirmedAt = 0; ///< At the owner, when the flow was placed; elsewhere, when the owner last
                          ///< confirmed the binding.
    FlowState state = FlowState::Empty;
    std::uint8_t marks = 0;
    std::uint16_t firstAnswer = 0; ///< Ticks from placing to the first answer; zero if none was seen.
    std::uint32_t bytesUp = 0;
    std::uint32_t bytesDown = 0;
    std::uint32_t packetsUp = 0;
    std::uint32_t packetsDown = 0;

    [[nodiscard]] bool has(FlowMark mark) const
    {
        return (marks & static_cast<std::uint8_t>(mark)) != 0;
    }

    void set(FlowMark mark)
    {
        marks = static_cast<std::uint8_t>(marks | static_cast<std::uint8_t>(mark));
    }

    void clear(FlowMark mark)
    {
        marks = static_cast<std::uint8_t>(marks & ~static_cast<std::uint8_t>(mark));
    }

    /// Tells whether the flow has not ended.
    [[nodiscard]] bool isLive() const
    {
        return state == FlowState::Opening || state == FlowState::Established;
    }
};

static_assert(sizeof(FlowEntry) <= 40, "a binding takes at most 40 bytes");

} // namespace jasminequay
