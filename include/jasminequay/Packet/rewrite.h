// Rewriting of one end of a packet, with its checksums corrected incrementally.
#pragma once

#include "jasminequay/Packet/packetview.h"

namespace jasminequay
{

/// Rewrites the destination of a packet, or of what an ICMP error answers: its quoted source and its
/// receiver.
void rewriteDestination(PacketView &packet, Endpoint destination);

/// Rewrites the source of a packet, or of what an ICMP error answers: its quoted destination and its sender.
void rewriteSource(PacketView &packet, Endpoint source);

/// Takes one hop from the time to live, so that a packet in a loop dies.
void decrementTimeToLive(PacketView &packet);

} // namespace jasminequay
