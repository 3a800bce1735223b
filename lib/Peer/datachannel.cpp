#include "jasminequay/Peer/datachannel.h"

#include "jasminequay/Packet/checksum.h"
#include "wireconversion.h"

#include <sodium.h>

#include <algorithm>
#include <cassert>

namespace jasminequay
{

DataChannel::DataChannel(InstanceId self, const std::string &hexKey)
    : m_self(self)
{
    const int status
        = sodium_hex2bin(m_key.data(), m_key.size(), hexKey.data(), hexKey.size(), nullptr, nullptr, nullptr);
    assert(status == 0 && hexKey.size() == 2 * KeySize && "the settings guarantee the form of the key");
    static_cast<void>(status);
}

std::array<std::uint8_t, DataChannel::TagSize> DataChannel::tagOf(std::span<const std::uint8_t> message) const
{
    std::array<std::uint8_t, TagSize> tag{};
    crypto_generichash(tag.data(), tag.size(), message.data(), message.size(), m_key.data(), m_key.size());
    return tag;
}

std::vector<std::uint8_t> DataChannel::encode(const DataMessage &message, std::uint32_t steering) const
{
    wire::WireData data;
    data.set_sender(message.sender.value);
    if (const auto *const forwarded = std::get_if<ForwardedPacket>(&message.body); forwarded != nullptr) {
        data.mutable_forward()->set_from_targets(forwarded->side == FabricSide::Targets);
        data.mutable_forward()->set_hops(forwarded->hops);
        data.mutable_forward()->set_packet(forwarded->packet.data(), forwarded->packet.size());
    } else {
        toWire(std::get<BindingMessage>(message.body), *data.mutable_binding());
    }
    const std::size_t size = data.ByteSizeLong();
    std::vector<std::uint8_t> datagram(SteeringSize + TagSize + size);
    storeLong(datagram, 0, steering);
    const std::span<std::uint8_t> body = std::span(datagram).subspan(SteeringSize + TagSize);
    data.SerializeToArray(body.data(), static_cast<int>(size));
    const std::array<std::uint8_t, TagSize> tag = tagOf(body);
    std::copy(tag.begin(), tag.end(), datagram.begin() + SteeringSize);
    return datagram;
}

Result<DataMessage> DataChannel::decode(std::span<const std::uint8_t> datagram, const std::string &peer) const
{
    if (datagram.size() < SteeringSize + TagSize) {
        return fail(Step::DecodePeer, peer, "data message is truncated");
    }
    const std::span<const std::uint8_t> body = datagram.subspan(SteeringSize + TagSize);
    const std::array<std::uint8_t, TagSize> tag = tagOf(body);
    if (sodium_memcmp(tag.data(), datagram.data() + SteeringSize, TagSize) != 0) {
        return fail(Step::DecodePeer, peer, "data message is not authentic");
    }
    wire::WireData data;
    if (!data.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        return fail(Step::DecodePeer, peer, "data message is not protobuf");
    }
    DataMessage message;
    message.sender = {data.sender()};
    if (data.has_forward()) {
        const std::string &packet = data.forward().packet();
        ForwardedPacket forwarded;
        forwarded.side = data.forward().from_targets() ? FabricSide::Targets : FabricSide::Callers;
        forwarded.hops = static_cast<std::uint8_t>(std::min<std::uint32_t>(data.forward().hops(), 0xff));
        forwarded.packet.assign(packet.begin(), packet.end());
        message.body = std::move(forwarded);
        return message;
    }
    const std::optional<BindingMessage> binding
        = data.has_binding() ? fromWire(data.binding()) : std::nullopt;
    if (!binding) {
        return fail(Step::DecodePeer, peer, "data message has no valid body");
    }
    message.body = *binding;
    return message;
}

} // namespace jasminequay
