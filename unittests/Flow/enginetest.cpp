// Tests of an engine's decisions for flows that it owns.
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

TEST_F(EngineTest, KeyReusedAfterCloseIsANewFlow)
{
    const Endpoint target = fromCaller(1, Syn).endpoint;
    fromTarget(1, target, SynAck);
    fromCaller(1, Fin);
    fromTarget(1, target, Fin);
    EXPECT_EQ(fromCaller(1, Ack).action, PacketAction::ToTarget) << "the last acknowledgement still passes";
    EXPECT_EQ(fromCaller(1, Syn).action, PacketAction::ToTarget);
    EXPECT_EQ(m_engine.counters().placed, 2U);
}

TEST_F(EngineTest, EndedFlowLeavesTheTargetLoadAtOnce)
{
    const Endpoint target = fromCaller(1, Syn).endpoint;
    const auto load = m_builder.current()->targetAt(target, Protocol::Tcp).target->load;
    EXPECT_EQ(load->outstanding(), 1U);
    fromTarget(1, target, {false, false, false, true});
    EXPECT_EQ(load->outstanding(), 0U);
    advance(seconds(60));
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
    applySnapshot({Self}, {});
    advance(seconds(2));
    EXPECT_EQ(fromCaller(1, Ack).endpoint, target);
    for (std::uint32_t number = 100; number < 200; ++number) {
        EXPECT_NE(fromCaller(number, Syn).endpoint, target);
    }
}

/// Promise 3: an answer from a target to which the flow is not bound must not reach the caller.
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

/// Promise 2: packets to an unknown service address, or from an unknown target, are dropped.
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
    applySnapshot({Self}, {});
    for (std::uint32_t number = 0; number < 4; ++number) {
        EXPECT_EQ(fromCaller(number, Syn).action, PacketAction::ToTarget);
    }
    EXPECT_EQ(fromCaller(9, Syn).action, PacketAction::Refuse);
    EXPECT_EQ(m_engine.takeRecords().back().cause, EndCause::Refused);
}

/// Promise 4: a new owner cannot know whether the previous owner placed the flow, so it must drop the packet
/// instead of refusing the flow.
TEST_F(EngineTest, NewOwnerDropsWhereTheFlowMayHaveBeenPlaced)
{
    m_configuration.version = 2;
    for (TargetSettings &target : m_configuration.services[0].targets) {
        target.state = TargetState::Draining;
    }
    applySnapshot({Peer}, {Peer});
    applySnapshot({Self}, {});
    EXPECT_EQ(fromCaller(9, Syn).action, PacketAction::Drop);
    advance(seconds(11));
    EXPECT_EQ(fromCaller(9, Syn).action, PacketAction::Refuse);
}

/// A flood of SYN segments fills the table; it must evict only half-open flows, not established ones.
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
    EXPECT_GT(m_engine.counters().evicted, 1000U) << "the table never became full";
    for (std::uint32_t number = 0; number < 200; ++number) {
        const Decision decision = fromCaller(number, Ack);
        ASSERT_EQ(decision.action, PacketAction::ToTarget);
        EXPECT_EQ(decision.endpoint, targets[number]);
    }
    EXPECT_EQ(m_engine.counters().fallbacks, 0U);
}

/// A service that fills the table with established flows must not leave the other services without room.
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
        EXPECT_EQ(datagram(number).action, PacketAction::ToTarget)
            << "the other service gets no room in the table";
    }
}

TEST_F(EngineTest, FlowsWithoutAnswerEndAfterTheHandshakeTimeout)
{
    fromCaller(1, Syn);
    advance(seconds(11));
    const std::vector<FlowRecord> records = m_engine.takeRecords();
    ASSERT_FALSE(records.empty());
    EXPECT_EQ(records.back().cause, EndCause::NoAnswer);
    EXPECT_EQ(m_engine.flows(), 0U);
}

} // namespace jasminequay
