// The messages that flow engines of one data centre exchange about bindings.
#pragma once

#include "jasminequay/Flow/flowname.h"
#include "jasminequay/Placement/instanceid.h"

#include <cstdint>

namespace jasminequay
{

/// What a binding message says.
enum class BindingKind : std::uint8_t {
    OwnerReply, ///< The owner tells the binding of a flow whose packet it was passed.
    Query, ///< A new owner asks whether the receiver knows a binding.
    Found, ///< The binding that was asked for.
    NotFound, ///< The receiver of a query knows no binding.
    Replica, ///< The owner hands a binding to the flow's backup or new owner.
    Shared, ///< A binding of a service whose requests may not run twice, which the present table no longer
            ///< gives.
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
    InstanceId to; ///< Zero for a shared binding, which goes to everyone.
    BindingMessage message;
};

} // namespace jasminequay
