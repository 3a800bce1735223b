// The decisions of one engine, with injected time.
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

static Endpoint callerNumber(std::uint32_t number)
{
    return {{0x0a090000 + number / 50000}, static_cast<std::uint16_t>(1000 + number % 50000)};
}

/// One engine with two services, alone or with a peer.
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
        adopt({Self}, {});
        pass(seconds(400));
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

    void adopt(const std::vector<InstanceId> &eligible, const std::vector<InstanceId> &reachable)
    {
        RoutingSnapshot snapshot;
        snapshot.catalogue = m_builder.apply(m_configuration, m_now);
        m_ownership = std::make_shared<const OwnershipView>(*snapshot.catalogue, Self,
            MemberSets{eligible, reachable, TimePoint::min(), false}, *m_ownership, m_now);
        snapshot.ownership = m_ownership;
        m_engine.adopt(snapshot);
    }

    void pass(Duration duration)
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

TEST_F(EngineTest, RetransmittedFirstPacketGoesToTheSameTarget)
{
    const Decision first = fromCaller(1, Syn);
    ASSERT_EQ(first.verb, Verb::ToTarget);
    EXPECT_EQ(fromCaller(1, Syn).endpoint, first.endpoint);
    EXPECT_EQ(m_engine.counters().placed, 1U);
}

TEST_F(EngineTest, KeyReusedAfterTheEndIsANewFlow)
{
    const Endpoint target = fromCaller(1, Syn).endpoint;
    fromTarget(1, target, SynAck);
    fromCaller(1, Fin);
    fromTarget(1, target, Fin);
    EXPECT_EQ(fromCaller(1, Ack).verb, Verb::ToTarget) << "the last acknowledgement still passes";
    EXPECT_EQ(fromCaller(1, Syn).verb, Verb::ToTarget);
    EXPECT_EQ(m_engine.counters().placed, 2U);
}

TEST_F(EngineTest, EndedFlowsFreeTheirTargetAtOnce)
{
    const Endpoint target = fromCaller(1, Syn).endpoint;
    const auto load = m_builder.current()->targetAt(target, Protocol::Tcp).target->load;
    EXPECT_EQ(load->outstanding(), 1U);
    fromTarget(1, target, {false, false, false, true});
    EXPECT_EQ(load->outstanding(), 0U);
    pass(seconds(60));
    EXPECT_EQ(load->outstanding(), 0U) << "the end is counted twice";
}

TEST_F(EngineTest, EstablishedFlowStaysAtADrainingTarget)
{
    const Endpoint target = fromCaller(1, Syn).endpoint;
    fromTarget(1, target, SynAck);
    m_configuration.version = 2;
    for (TargetSettings &settings : m_configuration.services[0].targets) {
        settings.state = settings.address == target ? TargetState::Draining : TargetState::Serving;
    }
    adopt({Self}, {});
    pass(seconds(2));
    EXPECT_EQ(fromCaller(1, Ack).endpoint, target);
    for (std::uint32_t number = 100; number < 200; ++number) {
        EXPECT_NE(fromCaller(number, Syn).endpoint, target);
    }
}

/// Promise 3: an answer of a target that does not hold the flow reaches no caller.
TEST_F(EngineTest, CrossedAnswerIsDropped)
{
    const Endpoint target = fromCaller(1, Syn).endpoint;
    fromTarget(1, target, SynAck);
    for (const TargetSettings &other : m_configuration.services[0].targets) {
        const Decision decision = fromTarget(1, other.address, Ack);
        EXPECT_EQ(decision.verb, other.address == target ? Verb::ToCaller : Verb::Drop);
    }
    EXPECT_EQ(fromCaller(1, Ack).endpoint, target);
}

/// Promise 2: what no service holds goes nowhere.
TEST_F(EngineTest, ForeignPacketsAreDropped)
{
    Bytes unknownService = standin::makeTcp({callerNumber(1), {{0x0a010009}, 443}, 1, 1, Syn, {}});
    EXPECT_EQ(m_engine.onCallerPacket(parsePacket(unknownService).packet, {}, 0, m_now).cause,
        DropCause::UnknownService);
    Bytes otherProtocol = standin::makeUdp(callerNumber(1), TcpService, {});
    EXPECT_EQ(m_engine.onCallerPacket(parsePacket(otherProtocol).packet, {}, 0, m_now).cause,
        DropCause::UnknownService);
    EXPECT_EQ(fromTarget(1, {{0x0a0a0a0a}, 80}, Ack).cause, DropCause::UnknownTarget);
}

TEST_F(EngineTest, PacketsPastTheLeaseAreDropped)
{
    fromCaller(1, Syn);
    m_now += seconds(3);
    EXPECT_EQ(fromCaller(1, Ack).cause, DropCause::Fenced);
    m_engine.extendLease(m_now + seconds(1));
    EXPECT_EQ(fromCaller(1, Ack).verb, Verb::ToTarget);
}

TEST_F(EngineTest, FullTargetsRefuseTheFirstSegmentOnly)
{
    m_configuration.version = 2;
    for (TargetSettings &target : m_configuration.services[0].targets) {
        target.connectionLimit = 1;
    }
    adopt({Self}, {});
    for (std::uint32_t number = 0; number < 4; ++number) {
        EXPECT_EQ(fromCaller(number, Syn).verb, Verb::ToTarget);
    }
    EXPECT_EQ(fromCaller(9, Syn).verb, Verb::Refuse);
    EXPECT_EQ(m_engine.takeRecords().back().cause, EndCause::Refused);
}

/// Promise 4: an owner that has just taken over cannot know that nothing ran, and stays silent.
TEST_F(EngineTest, NewOwnerStaysSilentWhereItCannotKnow)
{
    m_configuration.version = 2;
    for (TargetSettings &target : m_configuration.services[0].targets) {
        target.state = TargetState::Draining;
    }
    adopt({Peer}, {Peer});
    adopt({Self}, {});
    EXPECT_EQ(fromCaller(9, Syn).verb, Verb::Drop);
    pass(seconds(11));
    EXPECT_EQ(fromCaller(9, Syn).verb, Verb::Refuse);
}

/// A flood of first segments pushes out no established flow.
TEST_F(EngineTest, HalfOpenFloodEvictsNoEstablishedFlow)
{
    std::vector<Endpoint> targets;
    for (std::uint32_t number = 0; number < 200; ++number) {
        targets.push_back(fromCaller(number, Syn).endpoint);
        fromTarget(number, targets.back(), SynAck);
    }
    for (std::uint32_t number = 1000; number < 20000; ++number) {
        fromCaller(number, Syn);
        m_now += milliseconds(1);
        m_engine.extendLease(m_now + seconds(1));
    }
    EXPECT_GT(m_engine.counters().evicted, 1000U) << "the table never filled";
    for (std::uint32_t number = 0; number < 200; ++number) {
        const Decision decision = fromCaller(number, Ack);
        ASSERT_EQ(decision.verb, Verb::ToTarget);
        EXPECT_EQ(decision.endpoint, targets[number]);
    }
    EXPECT_EQ(m_engine.counters().fallbacks, 0U);
}

/// One service that fills the table with established flows leaves room for the others.
TEST_F(EngineTest, FullTableIsSharedFairlyBetweenServices)
{
    for (std::uint32_t number = 0; number < 40; ++number) {
        EXPECT_EQ(datagram(number).verb, Verb::ToTarget);
    }
    std::uint32_t placed = 0;
    for (std::uint32_t number = 1000; number < 3000; ++number) {
        const Decision decision = fromCaller(number, Syn);
        if (decision.verb == Verb::ToTarget) {
            fromTarget(number, decision.endpoint, SynAck);
            ++placed;
        }
    }
    EXPECT_LE(placed, 450U);
    for (std::uint32_t number = 100; number < 140; ++number) {
        EXPECT_EQ(datagram(number).verb, Verb::ToTarget) << "the other service gets nothing";
    }
}

TEST_F(EngineTest, FlowsWithoutAnswerEndAfterTheHandshakeTimeout)
{
    fromCaller(1, Syn);
    pass(seconds(11));
    const std::vector<FlowRecord> records = m_engine.takeRecords();
    ASSERT_FALSE(records.empty());
    EXPECT_EQ(records.back().cause, EndCause::NoAnswer);
    EXPECT_EQ(m_engine.flows(), 0U);
}

TEST_F(EngineTest, NonOwnerPassesFirstPacketsToTheOwnerAndUsesItsAnswer)
{
    adopt({Peer}, {Peer});
    EXPECT_EQ(fromCaller(1, Syn).verb, Verb::ToPeer);
    EXPECT_EQ(fromCaller(1, Ack).verb, Verb::ToPeer);
    const Endpoint target = m_configuration.services[0].targets[2].address;
    m_engine.onBinding(
        Peer, {BindingKind::Answer, {callerNumber(1), TcpService, Protocol::Tcp}, target, true}, m_now);
    EXPECT_EQ(fromCaller(1, Ack).endpoint, target);
    EXPECT_EQ(fromCaller(1, Fin).verb, Verb::ToPeer) << "the owner must see the end";
}

TEST_F(EngineTest, BindingsAreLearnedFromAnswers)
{
    adopt({Peer}, {Peer});
    const Endpoint target = m_configuration.services[0].targets[1].address;
    EXPECT_EQ(fromTarget(1, target, Ack).verb, Verb::ToPeer) << "the owner must see the first answer";
    EXPECT_EQ(fromTarget(1, target, Ack).verb, Verb::ToCaller);
    EXPECT_EQ(fromCaller(1, Ack).endpoint, target);
    EXPECT_EQ(m_engine.counters().learned, 1U);
}

TEST_F(EngineTest, PacketsDoNotCircleBetweenInstancesThatDisagree)
{
    adopt({Peer}, {Peer});
    EXPECT_EQ(fromCaller(1, Ack, InstanceId{3}, 2).cause, DropCause::TooManyHops);
}

TEST_F(EngineTest, NewOwnerAsksItsPeersAndResumesTheFlow)
{
    adopt({Peer}, {Peer});
    adopt({Self}, {Peer});
    EXPECT_EQ(fromCaller(1, Ack).verb, Verb::Hold);
    const std::vector<OutgoingBinding> sent = m_engine.takeOutbox();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].message.kind, BindingKind::Query);
    const Endpoint target = m_configuration.services[0].targets[3].address;
    m_engine.onBinding(Peer, {BindingKind::Found, sent[0].message.flow, target, true}, m_now);
    const std::vector<ReleasedPacket> released = m_engine.takeReleased();
    ASSERT_EQ(released.size(), 1U);
    EXPECT_EQ(released[0].decision.endpoint, target);
}

TEST_F(EngineTest, ADoubledReplyCountsOnce)
{
    adopt({Peer}, {Peer, InstanceId{3}});
    adopt({Self}, {Peer, InstanceId{3}});
    EXPECT_EQ(fromCaller(1, Syn).verb, Verb::Hold);
    const BindingMessage reply{
        BindingKind::NotFound, {callerNumber(1), TcpService, Protocol::Tcp}, {}, false};
    m_engine.onBinding(Peer, reply, m_now);
    m_engine.onBinding(Peer, reply, m_now);
    EXPECT_TRUE(m_engine.takeReleased().empty());
    m_engine.onBinding(InstanceId{3}, reply, m_now);
    EXPECT_EQ(m_engine.takeReleased().size(), 1U);
}

TEST_F(EngineTest, SilentPeersDelayAFlowOnlyForTheQueryTimeout)
{
    adopt({Peer}, {Peer});
    adopt({Self}, {Peer});
    EXPECT_EQ(fromCaller(1, Syn).verb, Verb::Hold);
    EXPECT_EQ(fromCaller(1, Syn).cause, DropCause::AwaitingBinding);
    m_engine.takeOutbox();
    pass(milliseconds(40));
    EXPECT_EQ(m_engine.takeOutbox().size(), 1U) << "a lost query is repeated";
    pass(milliseconds(40));
    pass(milliseconds(40));
    ASSERT_EQ(m_engine.takeReleased().size(), 1U);
    EXPECT_EQ(fromCaller(1, Syn).verb, Verb::ToTarget);
}

TEST_F(EngineTest, OwnedBindingsGoToTheNewOwner)
{
    const Endpoint target = fromCaller(1, Syn).endpoint;
    fromTarget(1, target, SynAck);
    const auto load = m_builder.current()->targetAt(target, Protocol::Tcp).target->load;
    adopt({Peer}, {Peer});
    pass(seconds(1));
    const std::vector<OutgoingBinding> sent = m_engine.takeOutbox();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].message.kind, BindingKind::Replica);
    EXPECT_EQ(sent[0].message.target, target);
    EXPECT_EQ(load->outstanding(), 0U);
    EXPECT_EQ(fromCaller(1, Ack).endpoint, target) << "the binding stays cached";
}

TEST_F(EngineTest, OnlyLastingExceptionsAreReplicatedInsideTheBudget)
{
    adopt({Self, Peer}, {Peer});
    adopt({Self}, {Peer});
    pass(seconds(400));
    m_configuration.version = 2;
    m_configuration.services[0].policy.placement = PlacementPolicy::Least;
    adopt({Self}, {Peer});
    for (std::uint32_t number = 0; number < 200; ++number) {
        fromTarget(number, fromCaller(number, Syn).endpoint, SynAck);
    }
    EXPECT_GT(m_engine.counters().exceptions, 50U);
    pass(seconds(2));
    EXPECT_TRUE(m_engine.takeOutbox().empty()) << "young flows are replicated";
}

TEST_F(EngineTest, UdpLimitRefusesOnlyAfterTheWordOfEveryPeer)
{
    m_configuration.version = 2;
    m_configuration.services[1].policy.newFlowLimit = 1;
    adopt({Self}, {Peer});
    pass(seconds(400));
    EXPECT_EQ(datagram(1).verb, Verb::ToTarget);
    EXPECT_EQ(datagram(2).verb, Verb::Hold);
    m_engine.takeOutbox();
    m_engine.onBinding(
        Peer, {BindingKind::NotFound, {callerNumber(2), UdpService, Protocol::Udp}, {}, false}, m_now);
    const std::vector<ReleasedPacket> released = m_engine.takeReleased();
    ASSERT_EQ(released.size(), 1U);
    EXPECT_EQ(released[0].decision.verb, Verb::Refuse);
}

/// Promise 5: the binding of a flow that may not run twice outlives its target's removal, so that no second
/// target gets it.
TEST_F(EngineTest, UnrepeatableFlowNeverMovesToASecondTarget)
{
    m_configuration.version = 2;
    m_configuration.services[1].policy.repeatable = false;
    adopt({Self}, {});
    const Endpoint target = datagram(1).endpoint;
    m_configuration.version = 3;
    std::erase_if(m_configuration.services[1].targets,
        [&](const TargetSettings &settings) { return settings.address == target; });
    adopt({Self}, {});
    pass(seconds(1));
    EXPECT_EQ(datagram(1).verb, Verb::Drop);
    m_builder.settle();
    EXPECT_EQ(datagram(1).verb, Verb::Drop);
}

TEST_F(EngineTest, RecordsHoldEveryByteOnce)
{
    const Endpoint target = fromCaller(1, Syn).endpoint;
    fromTarget(1, target, SynAck);
    for (int packet = 0; packet < 10; ++packet) {
        fromCaller(1, Ack);
        pass(seconds(7));
    }
    m_engine.flushRecords();
    std::uint64_t bytes = 0;
    for (const FlowRecord &record : m_engine.takeRecords()) {
        bytes += record.bytesUp;
    }
    EXPECT_EQ(bytes, 11U * 40);
}

} // namespace jasminequay
