// What a packet must tell so that it can be steered by token; each attachment has a type that does.
#pragma once

#include "jasminequay/Steering/flowmemory.h"

#include <concepts>

namespace jasminequay
{

/// A packet of a caller whose flow may carry a token. The numbers are those of the flow's byte stream, modulo
/// 2^32.
template <typename Packet>
concept SteeredPacket = requires(const Packet packet)
{
    {
        packet.flow()
        } -> std::same_as<SteeredFlow>;
    {
        packet.token()
        } -> std::same_as<SteeringToken>;
    {
        packet.isOpening()
        } -> std::same_as<bool>;
    /// Counts the copies of an opening packet from zero.
    {
        packet.openingCopy()
        } -> std::same_as<std::uint32_t>;
    {
        packet.isEnd()
        } -> std::same_as<bool>;
    {
        packet.isReset()
        } -> std::same_as<bool>;
    {
        packet.sequence()
        } -> std::same_as<std::uint32_t>;
    {
        packet.acknowledged()
        } -> std::same_as<std::uint32_t>;
    /// The bytes of data.
    {
        packet.dataSize()
        } -> std::same_as<std::uint32_t>;
};

} // namespace jasminequay
