// One traffic thread: its sockets, its flow engine and its event loop.
#pragma once

#include "jasminequay/Fabric/datagrambatch.h"
#include "jasminequay/Fabric/datagramsender.h"
#include "jasminequay/Node/packetpath.h"
#include "jasminequay/Settings/instancesettings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace jasminequay
{

/// Callbacks from a traffic thread to the control thread. They run on the traffic thread.
struct WorkerHooks {
    std::function<void(std::vector<FlowRecord>)> onFlowRecords;
    std::function<void(std::vector<OutgoingBinding>)> sendBindings;
    std::function<void(std::uint32_t worker, std::uint64_t version)> onSweepCompleted;
};

/// Runs the packet path on a thread of its own.
class TrafficWorker : private PacketOutput
{
public:
    TrafficWorker(const InstanceSettings &settings, std::uint32_t index, WorkerHooks hooks);
    ~TrafficWorker() override;
    TrafficWorker(const TrafficWorker &) = delete;
    TrafficWorker &operator=(const TrafficWorker &) = delete;

    /// Opens the sockets. Workers must be opened in the order of their index, by which the kernel distributes
    /// datagrams among their sockets.
    Result<void> open();

    /// Starts the thread.
    void start();

    /// Flushes the records of all flows and ends the thread.
    void stop();

    /// Starts to use a new routing snapshot and the endpoints of the peers.
    void applySnapshot(const RoutingSnapshot &snapshot, PeerDirectoryPointer peers);

    /// Passes bindings received from peers to the engine.
    void applyBindings(std::vector<std::pair<InstanceId, BindingMessage>> bindings);

    /// Lets the engine use its snapshot until the given time.
    void extendLease(TimePoint until);

    [[nodiscard]] const WorkerStats &stats() const
    {
        return m_stats;
    }

private:
    void toTargets(std::span<const std::uint8_t> packet) override;
    void toCallers(std::span<const std::uint8_t> packet) override;
    void toPeer(std::span<const std::uint8_t> datagram, Endpoint peer) override;

    using Descriptor = boost::asio::posix::stream_descriptor;
    using BatchHandler = void (TrafficWorker::*)(std::size_t count, TimePoint now);

    void waitFor(Descriptor &descriptor, UdpSocket &socket, BatchHandler handler);
    void onCallerBatch(std::size_t count, TimePoint now);
    void onTargetBatch(std::size_t count, TimePoint now);
    void onPeerBatch(std::size_t count, TimePoint now);
    void scheduleSweep();
    void finishBatch(std::size_t sweptSlots, TimePoint now);
    void flush();
    void recordSendFailures(std::size_t count);

    InstanceSettings m_settings;
    std::uint32_t m_index;
    WorkerHooks m_hooks;
    DataChannel m_channel;
    FlowEngine m_engine;
    PacketPath m_path;
    WorkerStats m_stats;
    std::atomic<Duration::rep> m_leaseUntil{0};
    UdpSocket m_callerSocket;
    UdpSocket m_targetSocket;
    UdpSocket m_peerSocket;
    UdpSocket m_toCallersSocket;
    UdpSocket m_toTargetsSocket;
    DatagramBatch m_batch;
    DatagramSender m_callerSender;
    DatagramSender m_targetSender;
    DatagramSender m_peerSender;
    boost::asio::io_context m_context{1};
    Descriptor m_callerDescriptor{m_context};
    Descriptor m_targetDescriptor{m_context};
    Descriptor m_peerDescriptor{m_context};
    boost::asio::steady_timer m_sweepTimer{m_context};
    std::uint64_t m_reportedSweptVersion = 0;
    std::thread m_thread;
};

} // namespace jasminequay
