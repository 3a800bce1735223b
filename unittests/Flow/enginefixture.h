// Test fixture: one flow engine with two services and injected time.
#pragma once

#include "packetfactory.h"

#include "jasminequay/Flow/flowengine.h"
#include "jasminequay/Packet/packetparser.h"
#include "jasminequay/Packet/rewrite.h"
#include "jasminequay/Placement/cataloguebuilder.h"

#include <gtest/gtest.h>

namespace jasminequay
{

using standin::Bytes;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Endpoint TcpService{{0x0a010001}, 443};
constexpr Endpoint UdpService{{0x0a010002}, 53};
constexpr TcpFlags Syn{true, false, false, false};
constexpr TcpFlags SynAck{true, true, false, false};
constexpr TcpFlags Ack{false, true, false, false};
constexpr TcpFlags Fin{false, true, true, false};
constexpr InstanceId Self{1};
constexpr InstanceId Peer{2};

inline Endpoint callerNumber(std::uint32_t number)
{
    return {{0x0a090000 + number / 50000}, static_cast<std::uint16_t>(1000 + number % 50000)};
}

/// A flow engine with a TCP and a UDP service, alone or with peers.
class EngineTest : public testing::Test
{
protected:
    EngineTest()
        : m_now(seconds(1000))
        , m_engine(Self, limits(), m_now)
    {
        m_configuration.version = 1;
        addService("web", TcpService, Protocol::Tcp, 0x0a020000);
        addService("names", UdpService, Protocol::Udp, 0x0a030000);
        applySnapshot({Self}, {});
        advance(seconds(400));
    }

    static EngineLimits limits()
    {
        EngineLimits limits;
        limits.flows = 512;
        return limits;
    }

    void addService(const std::string &name, Endpoint address, Protocol protocol, std::uint32_t firstTarget)
    {
        ServiceSettings service;
        service.name = name;
        service.dataCentre = "dc";
        service.address = address;
        service.protocol = protocol;
        service.policy.division = "division";
        for (std::uint32_t index = 0; index < 4; ++index) {
            TargetSettings target;
            target.address = {{firstTarget + index}, 80};
            target.connectionLimit = 400;
            service.targets.push_back(target);
        }
        m_configuration.services.push_back(service);
    }

    void applySnapshot(const std::vector<InstanceId> &eligible, const std::vector<InstanceId> &reachable)
    {
        RoutingSnapshot snapshot;
        snapshot.catalogue = m_builder.apply(m_configuration, m_now);
        m_ownership = std::make_shared<const OwnershipView>(*snapshot.catalogue, Self,
            MemberSets{eligible, reachable, TimePoint::min(), false}, *m_ownership, m_now);
        snapshot.ownership = m_ownership;
        m_engine.applySnapshot(snapshot);
    }

    void advance(Duration duration)
    {
        m_now += duration;
        m_engine.extendLease(m_now + seconds(2));
        for (int sweep = 0; sweep < 3; ++sweep) {
            m_engine.sweep(1 << 20, m_now);
        }
    }

    Decision fromCaller(std::uint32_t number, TcpFlags flags, InstanceId origin = {}, std::uint8_t hops = 0)
    {
        Bytes bytes = standin::makeTcp({callerNumber(number), TcpService, 1, 1, flags, {}});
        return m_engine.onCallerPacket(parsePacket(bytes).packet, origin, hops, m_now);
    }

    Decision fromTarget(std::uint32_t number, Endpoint target, TcpFlags flags)
    {
        Bytes bytes = standin::makeTcp({target, callerNumber(number), 1, 1, flags, {}});
        return m_engine.onTargetPacket(parsePacket(bytes).packet, {}, 0, m_now);
    }

    Decision datagram(std::uint32_t number)
    {
        Bytes bytes = standin::makeUdp(callerNumber(number), UdpService, {});
        return m_engine.onCallerPacket(parsePacket(bytes).packet, {}, 0, m_now);
    }

    TimePoint m_now;
    Configuration m_configuration;
    CatalogueBuilder m_builder{"dc"};
    std::shared_ptr<const OwnershipView> m_ownership = std::make_shared<const OwnershipView>();
    FlowEngine m_engine;
};

} // namespace jasminequay
