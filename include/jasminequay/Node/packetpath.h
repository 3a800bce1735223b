// The packet path of one traffic thread without its sockets: bytes in, decisions, bytes out.
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

/// Where packets leave. Bytes handed over must stay in place until the path is flushed.
class PacketOutput
{
public:
    virtual ~PacketOutput() = default;
    virtual void toTargets(std::span<const std::uint8_t> packet) = 0;
    virtual void toCallers(std::span<const std::uint8_t> packet) = 0;
    virtual void toPeer(std::span<const std::uint8_t> datagram, Endpoint peer) = 0;
};

/// Parses, decides, rewrites and hands packets to an output.
class PacketPath
{
public:
    PacketPath(FlowEngine &engine, const DataChannel &channel, PacketOutput &output);

    /// Handles a packet from the fabric.
    void onFabricPacket(std::span<std::uint8_t> bytes, FabricSide side, TimePoint now);

    /// Handles a datagram of a peer.
    void onPeerDatagram(std::span<const std::uint8_t> bytes, TimePoint now);

    /// Sends what the engine has to say. Bindings that go over the control connection are appended to
    /// `forControl`.
    void sendEngineOutput(std::vector<OutgoingBinding> &forControl);

    /// Frees the bytes that waited for the output to be flushed.
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
    /// Where a packet came from.
    struct PacketSource {
        FabricSide side = FabricSide::Callers;
        InstanceId origin;
        std::uint8_t hops = 0;
    };

    void decide(std::span<std::uint8_t> bytes, const PacketSource &source, TimePoint now);
    void act(PacketView &packet, const Decision &decision, const PacketSource &source);
    void refuse(const PacketView &packet);
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
