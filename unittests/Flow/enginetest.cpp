// The decisions of one engine that owns its flows.
#include "enginefixture.h"

namespace jasminequay
{

TEST_F(EngineTest, RetransmittedFirstPacketGoesToTheSameTarget)
{
    const Decision first = fromCaller(1, Syn);
    ASSERT_EQ(first.action, PacketAction::ToTarget);
    EXPECT_EQ(fromCaller(1, Syn).endpoint, first.endpoint);
    EXPECT_EQ(m_engine.counters().placed, 1U);
}

TEST_F(EngineTest, KeyReusedAfterTheEndIsANewFlow)
{
    const Endpoint target = fromCaller(1, Syn).endpoint;
    fromTarget(1, target, SynAck);
    fromCaller(1, Fin);
    fromTarget(1, target, Fin);
    EXPECT_EQ(fromCaller(1, Ack).action, PacketAction::ToTarget) << "the last acknowledgement still passes";
    EXPECT_EQ(fromCaller(1, Syn).action, PacketAction::ToTarget);
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
        EXPECT_EQ(decision.action, other.address == target ? PacketAction::ToCaller : PacketAction::Drop);
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
    EXPECT_EQ(fromCaller(1, Ack).action, PacketAction::ToTarget);
}

TEST_F(EngineTest, FullTargetsRefuseTheFirstSegmentOnly)
{
    m_configuration.version = 2;
    for (TargetSettings &target : m_configuration.services[0].targets) {
        target.connectionLimit = 1;
    }
    adopt({Self}, {});
    for (std::uint32_t number = 0; number < 4; ++number) {
        EXPECT_EQ(fromCaller(number, Syn).action, PacketAction::ToTarget);
    }
    EXPECT_EQ(fromCaller(9, Syn).action, PacketAction::Refuse);
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
    EXPECT_EQ(fromCaller(9, Syn).action, PacketAction::Drop);
    pass(seconds(11));
    EXPECT_EQ(fromCaller(9, Syn).action, PacketAction::Refuse);
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
        ASSERT_EQ(decision.action, PacketAction::ToTarget);
        EXPECT_EQ(decision.endpoint, targets[number]);
    }
    EXPECT_EQ(m_engine.counters().fallbacks, 0U);
}

/// One service that fills the table with established flows leaves room for the others.
TEST_F(EngineTest, FullTableIsSharedFairlyBetweenServices)
{
    for (std::uint32_t number = 0; number < 40; ++number) {
        EXPECT_EQ(datagram(number).action, PacketAction::ToTarget);
    }
    std::uint32_t placed = 0;
    for (std::uint32_t number = 1000; number < 3000; ++number) {
        const Decision decision = fromCaller(number, Syn);
        if (decision.action == PacketAction::ToTarget) {
            fromTarget(number, decision.endpoint, SynAck);
            ++placed;
        }
    }
    EXPECT_LE(placed, 450U);
    for (std::uint32_t number = 100; number < 140; ++number) {
        EXPECT_EQ(datagram(number).action, PacketAction::ToTarget) << "the other service gets nothing";
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

} // namespace jasminequay
