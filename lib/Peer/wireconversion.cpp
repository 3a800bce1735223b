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
