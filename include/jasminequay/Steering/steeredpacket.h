// The interface that a packet must have to be steered by token; each attachment provides a type for it.
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
    /// The number of times that the caller has sent this opening packet before.
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
    /// The number of data bytes.
    {
        packet.dataSize()
        } -> std::same_as<std::uint32_t>;
};

} // namespace jasminequay
