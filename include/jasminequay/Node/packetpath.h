// The packet path of one traffic thread, independent of sockets: parses packets, executes the decisions of
// the flow engine and passes the rewritten packets to an output.
#pragma once

#include "jasminequay/Fabric/datagramsender.h"
#include "jasminequay/Flow/flowengine.h"
#include "jasminequay/Node/peerdirectory.h"
#include "jasminequay/Node/workerstats.h"
#include "jasminequay/Packet/refusal.h"
#include "jasminequay/Peer/datachannel.h"

#include <deque>
#include <vector>

namespace jasminequay
{

/// Sends packets. The bytes passed in must stay valid and in place until the output is flushed.
class PacketOutput
{
public:
    virtual ~PacketOutput() = default;
    virtual void toTargets(std::span<const std::uint8_t> packet) = 0;
    virtual void toCallers(std::span<const std::uint8_t> packet) = 0;
    virtual void toPeer(std::span<const std::uint8_t> datagram, Endpoint peer) = 0;
};

/// Parses and rewrites packets and passes them to an output as the flow engine decides.
class PacketPath
{
public:
    PacketPath(FlowEngine &engine, const DataChannel &channel, PacketOutput &output);

    /// Handles a packet from the fabric.
    void onFabricPacket(std::span<std::uint8_t> bytes, FabricSide side, TimePoint now);

    /// Handles a datagram from a peer: a binding or a forwarded packet.
    void onPeerDatagram(std::span<const std::uint8_t> bytes, TimePoint now);

    /// Sends the packets that the engine has released and its outgoing bindings. Bindings that are to be sent
    /// over the control connection are appended to `forControl`.
    void sendEngineOutput(std::vector<OutgoingBinding> &forControl);

    /// Frees the buffers of sent packets; call it after the output has been flushed.
    void releaseBuffers();

    void setPeers(PeerDirectoryPointer peers)
    {
        m_peers = std::move(peers);
    }

    [[nodiscard]] TrafficCounters &counters()
    {
        return m_counters;
    }

private:
    /// Where a packet came from: the fabric, or the peer that forwarded it.
    struct PacketSource {
        FabricSide side = FabricSide::Callers;
        InstanceId origin; ///< The forwarding peer; empty for packets from the fabric.
        std::uint8_t hops = 0;
    };

    void decide(std::span<std::uint8_t> bytes, const PacketSource &source, TimePoint now);
    void applyDecision(PacketView &packet, const Decision &decision, const PacketSource &source);
    void sendRefusal(const PacketView &packet);
    void sendToPeer(const DataMessage &message, InstanceId peer, std::uint32_t steering);
    void answerOrigin(const PacketView &packet, const Decision &decision, InstanceId origin);
    void drop(DropCause cause);

    FlowEngine &m_engine;
    const DataChannel &m_channel;
    PacketOutput &m_output;
    PeerDirectoryPointer m_peers = std::make_shared<const PeerDirectory>();
    TrafficCounters m_counters;
    std::deque<std::vector<std::uint8_t>> m_buffers;
};

} // namespace jasminequay
