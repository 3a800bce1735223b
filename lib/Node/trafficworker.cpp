#include "jasminequay/Node/trafficworker.h"

#include "jasminequay/Fabric/steering.h"
#include "nodeclock.h"

#include <boost/asio/post.hpp>

namespace jasminequay
{

namespace asio = boost::asio;

/// The most batches read from one socket before the others get their turn.
constexpr int MaximumBatchesPerTurn = 8;
/// The number of slots of the flow table swept after each batch.
constexpr std::size_t SweptSlotsPerBatch = 256;
/// The number of slots swept each SweepInterval, so that the table is also swept without traffic.
constexpr std::size_t SweptSlotsPerTick = 16384;
constexpr auto SweepInterval = std::chrono::milliseconds(10);

static EngineLimits limitsOf(const InstanceSettings &settings)
{
    EngineLimits limits;
    limits.flows = settings.flowTableSize;
    limits.threads = settings.trafficThreads;
    limits.replicaBytesPerSecond = settings.controlBudget / 4.0 / settings.trafficThreads;
    return limits;
}

TrafficWorker::TrafficWorker(const InstanceSettings &settings, std::uint32_t index, WorkerHooks hooks)
    : m_settings(settings)
    , m_index(index)
    , m_hooks(std::move(hooks))
    , m_channel(instanceIdOf(settings.instance), settings.dataKey)
    , m_engine(instanceIdOf(settings.instance), limitsOf(settings), currentTime())
    , m_path(m_engine, m_channel, *this)
{
}

TrafficWorker::~TrafficWorker()
{
    stop();
    m_callerDescriptor.release();
    m_targetDescriptor.release();
    m_peerDescriptor.release();
}

Result<void> TrafficWorker::open()
{
    BOOST_LEAF_ASSIGN(m_callerSocket, UdpSocket::bindShared(m_settings.callerSide));
    BOOST_LEAF_ASSIGN(m_targetSocket, UdpSocket::bindShared(m_settings.targetSide));
    BOOST_LEAF_ASSIGN(m_peerSocket, UdpSocket::bindShared(m_settings.peerData));
    BOOST_LEAF_ASSIGN(m_toCallersSocket, UdpSocket::connectTo(m_settings.callerFabric));
    BOOST_LEAF_ASSIGN(m_toTargetsSocket, UdpSocket::connectTo(m_settings.targetFabric));
    if (m_index == 0) {
        BOOST_LEAF_CHECK(steer(m_callerSocket, SteeredTraffic::FromCallers, m_settings.trafficThreads));
        BOOST_LEAF_CHECK(steer(m_targetSocket, SteeredTraffic::FromTargets, m_settings.trafficThreads));
        BOOST_LEAF_CHECK(steer(m_peerSocket, SteeredTraffic::FromPeers, m_settings.trafficThreads));
    }
    return {};
}

void TrafficWorker::start()
{
    m_callerDescriptor.assign(m_callerSocket.descriptor());
    m_targetDescriptor.assign(m_targetSocket.descriptor());
    m_peerDescriptor.assign(m_peerSocket.descriptor());
    waitFor(m_callerDescriptor, m_callerSocket, &TrafficWorker::onCallerBatch);
    waitFor(m_targetDescriptor, m_targetSocket, &TrafficWorker::onTargetBatch);
    waitFor(m_peerDescriptor, m_peerSocket, &TrafficWorker::onPeerBatch);
    scheduleSweep();
    m_thread = std::thread([this]() { m_context.run(); });
}

void TrafficWorker::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    asio::post(m_context, [this]() {
        m_engine.flushRecords();
        finishBatch(0, currentTime());
        m_context.stop();
    });
    m_thread.join();
}

void TrafficWorker::applySnapshot(const RoutingSnapshot &snapshot, PeerDirectoryPointer peers)
{
    asio::post(m_context, [this, snapshot, peers = std::move(peers)]() {
        m_engine.applySnapshot(snapshot);
        m_path.setPeers(peers);
    });
}

void TrafficWorker::applyBindings(std::vector<std::pair<InstanceId, BindingMessage>> bindings)
{
    asio::post(m_context, [this, bindings = std::move(bindings)]() {
        const TimePoint now = currentTime();
        for (const auto &[from, binding] : bindings) {
            m_engine.onBinding(from, binding, now);
        }
        finishBatch(0, now);
    });
}

void TrafficWorker::extendLease(TimePoint until)
{
    m_leaseUntil.store(until.time_since_epoch().count(), std::memory_order_relaxed);
}

void TrafficWorker::waitFor(Descriptor &descriptor, UdpSocket &socket, BatchHandler handler)
{
    descriptor.async_wait(
        Descriptor::wait_read, [this, &descriptor, &socket, handler](boost::system::error_code error) {
            if (error) {
                return;
            }
            for (int batch = 0; batch < MaximumBatchesPerTurn; ++batch) {
                const std::size_t count = m_batch.receive(socket);
                if (count == 0) {
                    break;
                }
                const TimePoint now = currentTime();
                m_engine.extendLease(TimePoint(Duration(m_leaseUntil.load(std::memory_order_relaxed))));
                (this->*handler)(count, now);
                finishBatch(SweptSlotsPerBatch, now);
                if (count < BatchSize) {
                    break;
                }
            }
            waitFor(descriptor, socket, handler);
        });
}

void TrafficWorker::onCallerBatch(std::size_t count, TimePoint now)
{
    for (std::size_t index = 0; index < count; ++index) {
        m_path.onFabricPacket(m_batch.datagram(index), FabricSide::Callers, now);
    }
}

void TrafficWorker::onTargetBatch(std::size_t count, TimePoint now)
{
    for (std::size_t index = 0; index < count; ++index) {
        m_path.onFabricPacket(m_batch.datagram(index), FabricSide::Targets, now);
    }
}

void TrafficWorker::onPeerBatch(std::size_t count, TimePoint now)
{
    for (std::size_t index = 0; index < count; ++index) {
        m_path.onPeerDatagram(m_batch.datagram(index), now);
    }
}

void TrafficWorker::scheduleSweep()
{
    m_sweepTimer.expires_after(SweepInterval);
    m_sweepTimer.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        finishBatch(SweptSlotsPerTick, currentTime());
        scheduleSweep();
    });
}

void TrafficWorker::finishBatch(std::size_t sweptSlots, TimePoint now)
{
    if (sweptSlots > 0) {
        m_engine.sweep(sweptSlots, now);
    }
    std::vector<OutgoingBinding> forControl;
    m_path.sendEngineOutput(forControl);
    flush();
    m_path.releaseBuffers();
    if (!forControl.empty()) {
        m_hooks.sendBindings(std::move(forControl));
    }
    if (std::vector<FlowRecord> records = m_engine.takeRecords(); !records.empty()) {
        m_hooks.onFlowRecords(std::move(records));
    }
    if (m_engine.sweptVersion() != m_reportedSweptVersion) {
        m_reportedSweptVersion = m_engine.sweptVersion();
        m_hooks.onSweepCompleted(m_index, m_reportedSweptVersion);
    }
    TrafficCounters &counters = m_path.counters();
    counters.flows = m_engine.flows();
    counters.waitingHandovers = m_engine.waitingHandovers();
    counters.engine = m_engine.counters();
    m_stats.publish(counters);
}

void TrafficWorker::recordSendFailures(std::size_t count)
{
    m_path.counters().drops[static_cast<std::size_t>(DropCause::SendFailed)] += count;
}

void TrafficWorker::flush()
{
    recordSendFailures(m_callerSender.flush(m_toCallersSocket));
    recordSendFailures(m_targetSender.flush(m_toTargetsSocket));
    recordSendFailures(m_peerSender.flush(m_peerSocket));
}

void TrafficWorker::toTargets(std::span<const std::uint8_t> packet)
{
    if (m_targetSender.isFull()) {
        recordSendFailures(m_targetSender.flush(m_toTargetsSocket));
    }
    m_targetSender.queue(packet);
}

void TrafficWorker::toCallers(std::span<const std::uint8_t> packet)
{
    if (m_callerSender.isFull()) {
        recordSendFailures(m_callerSender.flush(m_toCallersSocket));
    }
    m_callerSender.queue(packet);
}

void TrafficWorker::toPeer(std::span<const std::uint8_t> datagram, Endpoint peer)
{
    if (m_peerSender.isFull()) {
        recordSendFailures(m_peerSender.flush(m_peerSocket));
    }
    m_peerSender.queue(datagram, &peer);
}

} // namespace jasminequay
