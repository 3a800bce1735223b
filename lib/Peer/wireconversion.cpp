#include "wireconversion.h"

namespace jasminequay
{

void toWire(Endpoint endpoint, wire::WireEndpoint &wire)
{
    wire.set_address(endpoint.address.value);
    wire.set_port(endpoint.port);
}

Endpoint fromWire(const wire::WireEndpoint &wire)
{
    return {{wire.address()}, static_cast<std::uint16_t>(wire.port())};
}

void toWire(const BindingMessage &binding, wire::WireBinding &wire)
{
    wire.set_kind(static_cast<std::uint32_t>(binding.kind));
    toWire(binding.flow.caller, *wire.mutable_flow()->mutable_caller());
    toWire(binding.flow.service, *wire.mutable_flow()->mutable_service());
    wire.mutable_flow()->set_protocol(static_cast<std::uint32_t>(binding.flow.protocol));
    toWire(binding.target, *wire.mutable_target());
    wire.set_established(binding.isEstablished);
}

void toWire(const Digest &digest, wire::WireDigest &wire)
{
    for (const DigestEntry &entry : digest.entries) {
        wire::WireMember &member = *wire.add_members();
        member.set_instance(entry.instance);
        member.set_incarnation(entry.incarnation);
        member.set_heartbeat(entry.heartbeat);
        member.set_phase(static_cast<std::uint32_t>(entry.phase));
        member.set_settings_version(entry.settingsVersion);
        member.set_platform_failing(entry.isPlatformFailing);
        if (entry.control.port != 0) {
            toWire(entry.control, *member.mutable_control());
        }
        member.set_data_centre(entry.dataCentre);
    }
    toWire(digest.peerData, *wire.mutable_peer_data());
    toWire(digest.peerControl, *wire.mutable_peer_control());
    wire.set_wants_reply(digest.wantsReply);
}

std::optional<Digest> fromWire(const wire::WireDigest &wire)
{
    Digest digest;
    for (const wire::WireMember &member : wire.members()) {
        if (member.phase() > static_cast<std::uint32_t>(MemberPhase::Leaving)) {
            return std::nullopt;
        }
        digest.entries.push_back({member.instance(), member.incarnation(), member.heartbeat(),
            static_cast<MemberPhase>(member.phase()), member.settings_version(), member.platform_failing(),
            fromWire(member.control()), member.data_centre()});
    }
    digest.peerData = fromWire(wire.peer_data());
    digest.peerControl = fromWire(wire.peer_control());
    digest.wantsReply = wire.wants_reply();
    return digest;
}

std::optional<BindingMessage> fromWire(const wire::WireBinding &wire)
{
    const std::uint32_t protocol = wire.flow().protocol();
    const bool isKnown = wire.kind() <= static_cast<std::uint32_t>(BindingKind::Shared)
        && (protocol == static_cast<std::uint32_t>(Protocol::Tcp)
            || protocol == static_cast<std::uint32_t>(Protocol::Udp));
    if (!isKnown) {
        return std::nullopt;
    }
    BindingMessage binding;
    binding.kind = static_cast<BindingKind>(wire.kind());
    binding.flow
        = {fromWire(wire.flow().caller()), fromWire(wire.flow().service()), static_cast<Protocol>(protocol)};
    binding.target = fromWire(wire.target());
    binding.isEstablished = wire.established();
    return binding;
}

} // namespace jasminequay
