// The data messages between instances: forwarded packets and single bindings, each in one authenticated UDP
// datagram.
#pragma once

#include "jasminequay/Flow/peermessage.h"
#include "jasminequay/Support/failure.h"

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace jasminequay
{

/// The side of the fabric that a packet came from.
enum class FabricSide : std::uint8_t { Callers, Targets };

/// A packet that is passed to the owner of its flow.
struct ForwardedPacket {
    FabricSide side = FabricSide::Callers;
    std::uint8_t hops = 0;
    std::vector<std::uint8_t> packet;
};

/// One data message.
struct DataMessage {
    InstanceId sender;
    std::variant<ForwardedPacket, BindingMessage> body;
};

/// Encodes and decodes data messages. A datagram is a steering word of four bytes, a BLAKE2b tag of sixteen
/// bytes over all that follows, and the message. The steering word lets the kernel pick the traffic thread of
/// the flow.
class DataChannel
{
public:
    static constexpr std::size_t SteeringSize = 4;
    static constexpr std::size_t TagSize = 16;
    static constexpr std::size_t KeySize = 32;

    /// `hexKey` has 64 hexadecimal digits, as the instance settings guarantee.
    DataChannel(InstanceId self, const std::string &hexKey);

    /// Encodes a message. `steering` is what the fabric steers packets of the flow by.
    [[nodiscard]] std::vector<std::uint8_t> encode(const DataMessage &message, std::uint32_t steering) const;

    /// Decodes a datagram; fails for one that is truncated, not authentic or malformed.
    [[nodiscard]] Result<DataMessage> decode(
        std::span<const std::uint8_t> datagram, const std::string &peer) const;

    [[nodiscard]] InstanceId self() const
    {
        return m_self;
    }

private:
    [[nodiscard]] std::array<std::uint8_t, TagSize> tagOf(std::span<const std::uint8_t> message) const;

    InstanceId m_self;
    std::array<std::uint8_t, KeySize> m_key{};
};

} // namespace jasminequay
