// Tests of an engine's decisions when it has peers.
#include "enginefixture.h"

namespace jasminequay
{

TEST_F(EngineTest, NonOwnerPassesFirstPacketsToTheOwnerAndUsesItsAnswer)
{
    applySnapshot({Peer}, {Peer});
    EXPECT_EQ(fromCaller(1, Syn).action, PacketAction::ToPeer);
    EXPECT_EQ(fromCaller(1, Ack).action, PacketAction::ToPeer);
    const Endpoint target = m_configuration.services[0].targets[2].address;
    m_engine.onBinding(
        Peer, {BindingKind::OwnerReply, {callerNumber(1), TcpService, Protocol::Tcp}, target, true}, m_now);
    EXPECT_EQ(fromCaller(1, Ack).endpoint, target);
    EXPECT_EQ(fromCaller(1, Fin).action, PacketAction::ToPeer) << "the owner must see the end";
}

TEST_F(EngineTest, BindingsAreLearnedFromAnswers)
{
    applySnapshot({Peer}, {Peer});
    const Endpoint target = m_configuration.services[0].targets[1].address;
    EXPECT_EQ(fromTarget(1, target, Ack).action, PacketAction::ToPeer)
        << "the owner must see the first answer";
    EXPECT_EQ(fromTarget(1, target, Ack).action, PacketAction::ToCaller);
    EXPECT_EQ(fromCaller(1, Ack).endpoint, target);
    EXPECT_EQ(m_engine.counters().learned, 1U);
}

TEST_F(EngineTest, HopLimitStopsForwardingLoops)
{
    applySnapshot({Peer}, {Peer});
    EXPECT_EQ(fromCaller(1, Ack, InstanceId{3}, 2).cause, DropCause::TooManyHops);
}

TEST_F(EngineTest, NewOwnerAsksItsPeersAndResumesTheFlow)
{
    applySnapshot({Peer}, {Peer});
    applySnapshot({Self}, {Peer});
    EXPECT_EQ(fromCaller(1, Ack).action, PacketAction::Hold);
    const std::vector<OutgoingBinding> sent = m_engine.takeOutbox();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].message.kind, BindingKind::Query);
    const Endpoint target = m_configuration.services[0].targets[3].address;
    m_engine.onBinding(Peer, {BindingKind::Found, sent[0].message.flow, target, true}, m_now);
    const std::vector<ReleasedPacket> released = m_engine.takeReleased();
    ASSERT_EQ(released.size(), 1U);
    EXPECT_EQ(released[0].decision.endpoint, target);
}

TEST_F(EngineTest, DuplicateReplyCountsOnce)
{
    applySnapshot({Peer}, {Peer, InstanceId{3}});
    applySnapshot({Self}, {Peer, InstanceId{3}});
    EXPECT_EQ(fromCaller(1, Syn).action, PacketAction::Hold);
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
    applySnapshot({Peer}, {Peer});
    applySnapshot({Self}, {Peer});
    EXPECT_EQ(fromCaller(1, Syn).action, PacketAction::Hold);
    EXPECT_EQ(fromCaller(1, Syn).cause, DropCause::AwaitingBinding);
    m_engine.takeOutbox();
    advance(milliseconds(40));
    EXPECT_EQ(m_engine.takeOutbox().size(), 1U) << "a lost query is repeated";
    advance(milliseconds(40));
    advance(milliseconds(40));
    ASSERT_EQ(m_engine.takeReleased().size(), 1U);
    EXPECT_EQ(fromCaller(1, Syn).action, PacketAction::ToTarget);
}

TEST_F(EngineTest, OwnedBindingsAreHandedOverToTheNewOwner)
{
    const Endpoint target = fromCaller(1, Syn).endpoint;
    fromTarget(1, target, SynAck);
    const auto load = m_builder.current()->targetAt(target, Protocol::Tcp).target->load;
    applySnapshot({Peer}, {Peer});
    advance(seconds(1));
    const std::vector<OutgoingBinding> sent = m_engine.takeOutbox();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].message.kind, BindingKind::Replica);
    EXPECT_EQ(sent[0].message.target, target);
    EXPECT_EQ(load->outstanding(), 0U);
    EXPECT_EQ(fromCaller(1, Ack).endpoint, target) << "the binding stays cached";
}

TEST_F(EngineTest, YoungExceptionalFlowsAreNotReplicated)
{
    applySnapshot({Self, Peer}, {Peer});
    applySnapshot({Self}, {Peer});
    advance(seconds(400));
    m_configuration.version = 2;
    m_configuration.services[0].policy.placement = PlacementPolicy::Least;
    applySnapshot({Self}, {Peer});
    for (std::uint32_t number = 0; number < 200; ++number) {
        fromTarget(number, fromCaller(number, Syn).endpoint, SynAck);
    }
    EXPECT_GT(m_engine.counters().exceptions, 50U);
    advance(seconds(2));
    EXPECT_TRUE(m_engine.takeOutbox().empty()) << "flows are replicated before replicateAfter has passed";
}

TEST_F(EngineTest, UdpLimitRefusesOnlyAfterEveryPeerReplied)
{
    m_configuration.version = 2;
    m_configuration.services[1].policy.newFlowLimit = 1;
    applySnapshot({Self}, {Peer});
    advance(seconds(400));
    EXPECT_EQ(datagram(1).action, PacketAction::ToTarget);
    EXPECT_EQ(datagram(2).action, PacketAction::Hold);
    m_engine.takeOutbox();
    m_engine.onBinding(
        Peer, {BindingKind::NotFound, {callerNumber(2), UdpService, Protocol::Udp}, {}, false}, m_now);
    const std::vector<ReleasedPacket> released = m_engine.takeReleased();
    ASSERT_EQ(released.size(), 1U);
    EXPECT_EQ(released[0].decision.action, PacketAction::Refuse);
}

/// Promise 5: the binding of a non-repeatable flow is kept after its target is removed; otherwise the flow
/// would reach a second target and its request could run twice.
TEST_F(EngineTest, NonRepeatableFlowNeverMovesToASecondTarget)
{
    m_configuration.version = 2;
    m_configuration.services[1].policy.repeatable = false;
    applySnapshot({Self}, {});
    const Endpoint target = datagram(1).endpoint;
    m_configuration.version = 3;
    std::erase_if(m_configuration.services[1].targets,
        [&](const TargetSettings &settings) { return settings.address == target; });
    applySnapshot({Self}, {});
    advance(seconds(1));
    EXPECT_EQ(datagram(1).action, PacketAction::Drop);
    m_builder.releaseQuarantine();
    EXPECT_EQ(datagram(1).action, PacketAction::Drop);
}

/// Promise 5: when a target drains and returns, another instance may still place its flows by the version in
/// between. Unless these flows stay quarantined, they could reach two targets.
TEST_F(EngineTest, FlowsOfEveryUnconfirmedVersionAreQuarantined)
{
    m_configuration.version = 2;
    m_configuration.services[1].policy.repeatable = false;
    applySnapshot({Self}, {});
    m_builder.releaseQuarantine();
    applySnapshot({Self}, {});
    for (const TargetState state : {TargetState::Draining, TargetState::Serving}) {
        ++m_configuration.version;
        m_configuration.services[1].targets[0].state = state;
        applySnapshot({Self}, {});
    }
    ++m_configuration.version;
    m_configuration.services[1].policy.bound = 3;
    applySnapshot({Self}, {});
    int held = 0;
    for (std::uint32_t number = 0; number < 400; ++number) {
        const Decision decision = datagram(number);
        held += decision.cause == DropCause::Quarantined ? 1 : 0;
        EXPECT_NE(decision.endpoint, m_configuration.services[1].targets[0].address);
    }
    EXPECT_NEAR(held, 100, 40);
}

TEST_F(EngineTest, NewFlowLimitChangeTakesEffectAtOnce)
{
    m_configuration.version = 2;
    m_configuration.services[0].policy.newFlowLimit = 1;
    applySnapshot({Self}, {});
    EXPECT_EQ(fromCaller(1, Syn).action, PacketAction::ToTarget);
    EXPECT_EQ(fromCaller(2, Syn).action, PacketAction::Refuse);
    m_configuration.version = 3;
    m_configuration.services[0].policy.newFlowLimit = 100;
    applySnapshot({Self}, {});
    for (std::uint32_t number = 3; number < 90; ++number) {
        EXPECT_EQ(fromCaller(number, Syn).action, PacketAction::ToTarget);
    }
}

TEST_F(EngineTest, RecordsCountEveryByteOnce)
{
    const Endpoint target = fromCaller(1, Syn).endpoint;
    fromTarget(1, target, SynAck);
    for (int packet = 0; packet < 10; ++packet) {
        fromCaller(1, Ack);
        advance(seconds(7));
    }
    m_engine.flushRecords();
    std::uint64_t bytes = 0;
    for (const FlowRecord &record : m_engine.takeRecords()) {
        bytes += record.bytesUp;
    }
    EXPECT_EQ(bytes, 11U * 40);
}

} // namespace jasminequay
