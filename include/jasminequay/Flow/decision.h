// The decision about one packet.
#pragma once

#include "jasminequay/Packet/dropcause.h"
#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Placement/instanceid.h"

namespace jasminequay
{

/// The action on a packet.
enum class PacketAction : std::uint8_t {
    Drop,
    ToTarget, ///< Rewrite the destination and send it to the targets' side.
    ToCaller, ///< Rewrite the source and send it to the callers' side.
    ToPeer, ///< Forward it unchanged to another instance.
    Refuse, ///< Reject the flow, which tells the caller that its request did not run.
    Hold, ///< The engine keeps a copy and releases it when its query completes.
};

/// A decision about a packet.
struct Decision {
    PacketAction action = PacketAction::Drop;
    DropCause cause = DropCause::None;
    Endpoint endpoint; ///< The new destination or source.
    InstanceId peer; ///< The instance to forward the packet to.
    bool notifiesOrigin = false; ///< Whether to send the binding to the peer that forwarded the packet.
    bool isEstablished = false; ///< Whether the target of the binding has answered.

    static Decision drop(DropCause cause)
    {
        Decision decision;
        decision.cause = cause;
        return decision;
    }

    static Decision toTarget(Endpoint target)
    {
        Decision decision;
        decision.action = PacketAction::ToTarget;
        decision.endpoint = target;
        return decision;
    }

    static Decision toCaller(Endpoint service)
    {
        Decision decision;
        decision.action = PacketAction::ToCaller;
        decision.endpoint = service;
        return decision;
    }

    static Decision toPeer(InstanceId peer)
    {
        Decision decision;
        decision.action = PacketAction::ToPeer;
        decision.peer = peer;
        return decision;
    }

    static Decision refuse(DropCause cause)
    {
        Decision decision;
        decision.action = PacketAction::Refuse;
        decision.cause = cause;
        return decision;
    }

    static Decision hold()
    {
        Decision decision;
        decision.action = PacketAction::Hold;
        return decision;
    }
};

} // namespace jasminequay
