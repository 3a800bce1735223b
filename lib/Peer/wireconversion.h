// Conversions between values and their wire forms, private to the Peer library.
#pragma once

#include "jasminequay/Flow/peermessage.h"
#include "jasminequay/Packet/endpoint.h"
#include "peer.pb.h"

#include <optional>

namespace jasminequay
{

void toWire(Endpoint endpoint, wire::WireEndpoint &wire);
Endpoint fromWire(const wire::WireEndpoint &wire);

void toWire(const BindingMessage &binding, wire::WireBinding &wire);

/// Returns nothing for an unknown kind or protocol.
std::optional<BindingMessage> fromWire(const wire::WireBinding &wire);

} // namespace jasminequay
