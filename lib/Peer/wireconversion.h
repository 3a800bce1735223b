// Conversions between values and their wire forms, private to the Peer library.
#pragma once

#include "jasminequay/Flow/peermessage.h"
#include "jasminequay/Membership/digest.h"
#include "jasminequay/Packet/endpoint.h"
#include "peer.pb.h"

#include <optional>

namespace jasminequay
{

void toWire(Endpoint endpoint, wire::WireEndpoint &wire);
Endpoint fromWire(const wire::WireEndpoint &wire);

void toWire(const BindingMessage &binding, wire::WireBinding &wire);

void toWire(const Digest &digest, wire::WireDigest &wire);

/// Returns nothing for an unknown phase.
std::optional<Digest> fromWire(const wire::WireDigest &wire);

/// Returns nothing for an unknown kind or protocol.
std::optional<BindingMessage> fromWire(const wire::WireBinding &wire);

} // namespace jasminequay
