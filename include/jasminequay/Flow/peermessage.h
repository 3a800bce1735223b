// The messages that flow engines of one data centre exchange about bindings.
#pragma once

#include "jasminequay/Flow/flowname.h"
#include "jasminequay/Placement/instanceid.h"

#include <cstdint>

namespace jasminequay
{

/// The kind of a binding message.
enum class BindingKind : std::uint8_t {
    OwnerReply, ///< The owner sends the binding of a flow to the peer that forwarded a packet of it.
    Query, ///< A new owner asks whether the receiver knows the binding of a flow.
    Found, ///< The reply to a query with the binding.
    NotFound, ///< The reply to a query when no binding is known.
    Replica, ///< The owner sends a binding to the flow's backup or new owner.
    Shared, ///< A binding of a non-repeatable service whose target differs from the one that the current
            ///< table gives.
};

/// A message about one binding.
struct BindingMessage {
    BindingKind kind = BindingKind::OwnerReply;
    FlowTuple flow;
    Endpoint target;
    bool isEstablished = false; ///< Whether the target has answered.
};

/// A message with its receiver.
struct OutgoingBinding {
    InstanceId to; ///< Zero for a shared binding, which is sent to every peer.
    BindingMessage message;
};

} // namespace jasminequay
