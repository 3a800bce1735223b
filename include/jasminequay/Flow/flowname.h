// The name of a flow, the same at every instance.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Packet/protocol.h"
#include "jasminequay/Support/hash.h"

namespace jasminequay
{

/// A flow of a caller to a service.
struct FlowTuple {
    Endpoint caller;
    Endpoint service;
    Protocol protocol = Protocol::Tcp;

    bool operator==(const FlowTuple &) const = default;

    /// Returns the hash by which owners and targets are chosen; all instances compute the same.
    [[nodiscard]] std::uint64_t hash() const
    {
        return hashWords(caller.packed(), (service.packed() << 8) | static_cast<std::uint8_t>(protocol));
    }
};

} // namespace jasminequay
