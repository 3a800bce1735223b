// The tuple that identifies a flow at every instance.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Packet/protocol.h"
#include "jasminequay/Support/hash.h"

namespace jasminequay
{

/// The caller, service address and protocol that identify a flow.
struct FlowTuple {
    Endpoint caller;
    Endpoint service;
    Protocol protocol = Protocol::Tcp;

    bool operator==(const FlowTuple &) const = default;

    /// Returns the hash that selects the owner and the target; it is the same at all instances.
    [[nodiscard]] std::uint64_t hash() const
    {
        return hashWords(caller.packed(), (service.packed() << 8) | static_cast<std::uint8_t>(protocol));
    }
};

} // namespace jasminequay
