#include "udpbridge.h"

namespace jasminequay::standin
{

UdpBridge::UdpBridge(
    boost::asio::io_context &context, FabricLoop &fabric, Endpoint entry, Endpoint caller, Endpoint service)
    : m_context(context)
    , m_fabric(fabric)
    , m_caller(caller)
    , m_service(service)
    , m_entry(context, entry,
          [this](std::span<std::uint8_t> bytes) { m_fabric.fromCaller(makeUdp(m_caller, m_service, bytes)); })
{
}

void UdpBridge::addTarget(Endpoint target, Endpoint server, Endpoint local)
{
    Target &entry = m_targets[target];
    entry.server = server;
    entry.listener
        = std::make_unique<Listener>(m_context, local, [this, target, &entry](std::span<std::uint8_t> bytes) {
              m_fabric.fromTarget(makeUdp(target, entry.caller, bytes));
          });
}

void UdpBridge::toCaller(const PacketView &packet)
{
    m_entry.send(udpPayload(packet), m_caller);
}

void UdpBridge::toTarget(const PacketView &packet)
{
    if (const auto found = m_targets.find(packet.destination); found != m_targets.end()) {
        found->second.caller = packet.source;
        found->second.listener->send(udpPayload(packet), found->second.server);
    }
}

} // namespace jasminequay::standin
