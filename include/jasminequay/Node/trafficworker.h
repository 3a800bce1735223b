// One traffic thread: its sockets, its flow engine and its loop.
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

/// What a traffic thread tells the control thread. Called on the traffic thread.
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

    /// Opens the sockets. Workers open in the order of their index: the kernel steers by it.
    Result<void> open();

    /// Starts the thread.
    void start();

    /// Writes out the counters of all flows and ends the thread.
    void stop();

    /// Routes by a new snapshot.
    void applySnapshot(const RoutingSnapshot &snapshot, PeerDirectoryPointer peers);

    /// Takes the bindings that peers sent.
    void takeBindings(std::vector<std::pair<InstanceId, BindingMessage>> bindings);

    /// Trusts the snapshot until a moment.
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
    void noteSendFailures(std::size_t count);

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
    std::uint64_t m_reportedVersion = 0;
    std::thread m_thread;
};

} // namespace jasminequay
