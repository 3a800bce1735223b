#include "nodecontrol.h"

#include "nodeclock.h"

#include "jasminequay/Support/logevent.h"
#include "jasminequay/Support/wallclock.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>

namespace jasminequay
{

namespace asio = boost::asio;

/// How often the settings tree is read from its file.
constexpr Duration TreeFileInterval = std::chrono::seconds(1);
constexpr Duration LeaveCheckInterval = std::chrono::milliseconds(100);
constexpr Duration ProbeInterval = std::chrono::seconds(2);

NodeControl::NodeControl(const InstanceSettings &settings, std::string treeFile)
    : m_settings(settings)
    , m_treeFile(std::move(treeFile))
    , m_incarnation(static_cast<std::uint64_t>(wallMilliseconds()))
    , m_control(settings, m_incarnation, currentTime(),
          hashWords(m_incarnation, instanceIdOf(settings.instance).value))
    , m_link(settings)
    , m_records(settings.instance, m_incarnation)
    , m_operatorServer(m_context, [this](const std::string &path) { return pageFor(path); })
{
}

NodeControl::~NodeControl()
{
    for (const std::unique_ptr<Descriptor> &descriptor : m_peerDescriptors) {
        descriptor->release();
    }
}

Result<void> NodeControl::open()
{
    BOOST_LEAF_CHECK(m_records.open(m_settings.recordFile, wallMilliseconds()));
    BOOST_LEAF_CHECK(m_link.open());
    BOOST_LEAF_CHECK(m_operatorServer.open(m_settings.operators));
    return openWorkers();
}

Result<void> NodeControl::openWorkers()
{
    for (std::uint32_t index = 0; index < m_settings.trafficThreads; ++index) {
        m_workers.push_back(std::make_unique<TrafficWorker>(m_settings, index, workerHooks()));
        BOOST_LEAF_CHECK(m_workers.back()->open());
    }
    m_sweptVersions.resize(m_workers.size());
    return {};
}

WorkerHooks NodeControl::workerHooks()
{
    WorkerHooks hooks;
    hooks.onFlowRecords = [this](std::vector<FlowRecord> records) {
        asio::post(
            m_context, [this, records = std::move(records)]() mutable { writeRecords(std::move(records)); });
    };
    hooks.sendBindings = [this](std::vector<OutgoingBinding> bindings) {
        asio::post(m_context, [this, bindings = std::move(bindings)]() {
            m_control.onEngineBindings(bindings);
            sendOutgoing();
        });
    };
    hooks.onSweepCompleted = [this](std::uint32_t worker, std::uint64_t version) {
        asio::post(m_context, [this, worker, version]() { onSweepCompleted(worker, version); });
    };
    return hooks;
}

NodeExitReason NodeControl::run()
{
    const TimePoint now = currentTime();
    for (const PeerKey &peer : m_settings.peers) {
        if (peer.peerControl.port != 0) {
            m_control.addSeed(peer.instance, peer.peerData, peer.peerControl, now);
        }
    }
    for (const std::unique_ptr<TrafficWorker> &worker : m_workers) {
        worker->start();
    }
    readTreeFile();
    watchPlatform();
    watchPeers();
    m_prober = std::make_unique<TargetProber>(
        m_context, [this]() { return probedTargets(); }, ProbeInterval);
    m_prober->start();
    m_signals.add(SIGTERM);
    m_signals.add(SIGINT);
    waitForSignal();
    subscribeTimers(now);
    scheduleTimers();
    LogEvent(Severity::Info, "instance-started")
        .with("instance", m_settings.instance)
        .with("incarnation", m_incarnation)
        .with("data-centre", m_settings.dataCentre);
    m_context.run();
    return m_end;
}

void NodeControl::subscribeTimers(TimePoint now)
{
    m_timers.subscribe("heartbeat", m_settings.heartbeatInterval, now, [this](TimePoint time) {
        m_control.tick(time);
        publish(time);
    });
    m_timers.subscribe("leave", LeaveCheckInterval, now, [this](TimePoint time) { checkLeave(time); });
    m_timers.subscribe("peers", LeaveCheckInterval, now, [this](TimePoint) { receivePeers(); });
    if (!m_treeFile.empty()) {
        m_timers.subscribe("tree", TreeFileInterval, now, [this](TimePoint) { readTreeFile(); });
    }
}

void NodeControl::scheduleTimers()
{
    const TimePoint due = m_timers.nextDue(currentTime() + std::chrono::seconds(1));
    m_timer.expires_at(std::chrono::time_point_cast<std::chrono::steady_clock::duration>(due));
    m_timer.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        m_timers.advance(currentTime());
        scheduleTimers();
    });
}

void NodeControl::readTreeFile()
{
    if (m_treeFile.empty()) {
        return;
    }
    std::ifstream file(m_treeFile);
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (file.bad() || text.empty()) {
        LogEvent(Severity::Warning, "tree-unreadable").with("file", m_treeFile);
        return;
    }
    const TimePoint now = currentTime();
    m_control.onSettings(text, now);
    publish(now);
}

void NodeControl::watchPeers()
{
    for (const int descriptor : m_link.descriptors()) {
        m_peerDescriptors.push_back(std::make_unique<Descriptor>(m_context, descriptor));
        waitForPeers(*m_peerDescriptors.back());
    }
}

void NodeControl::waitForPeers(Descriptor &descriptor)
{
    descriptor.async_wait(Descriptor::wait_read, [this, &descriptor](boost::system::error_code error) {
        if (error) {
            return;
        }
        receivePeers();
        waitForPeers(descriptor);
    });
}

void NodeControl::receivePeers()
{
    bool hasReceived = false;
    m_link.receive([this, &hasReceived](const ControlMessage &message) {
        hasReceived = true;
        m_control.onMessage(message, currentTime());
    });
    if (hasReceived) {
        publish(currentTime());
    }
}

/// Passes changed snapshots, leases and bindings to the traffic threads, and outgoing messages to the peers.
void NodeControl::publish(TimePoint now)
{
    if (const std::optional<RoutingSnapshot> snapshot = m_control.takeSnapshot(now)) {
        publishSnapshot(*snapshot);
    }
    for (const std::unique_ptr<TrafficWorker> &worker : m_workers) {
        worker->extendLease(m_control.leaseUntil());
    }
    deliverBindings();
    sendOutgoing();
}

void NodeControl::publishSnapshot(const RoutingSnapshot &snapshot)
{
    auto peers = std::make_shared<PeerDirectory>();
    for (const auto &[name, member] : m_control.members().members()) {
        if (member.peerData.port != 0) {
            peers->emplace(member.id.value, member.peerData);
        }
    }
    for (const std::unique_ptr<TrafficWorker> &worker : m_workers) {
        worker->applySnapshot(snapshot, peers);
    }
}

void NodeControl::sendOutgoing()
{
    for (const OutgoingControl &outgoing : m_control.takeOutgoing()) {
        withFailure([&]() { return m_link.send(outgoing.to, outgoing.address, outgoing.body); },
            [](const Failure &failure) {
                LogEvent(Severity::Warning, "peer-send-failed").with("reason", describe(failure));
            });
    }
}

void NodeControl::deliverBindings()
{
    const std::vector<IncomingBinding> bindings = m_control.takeBindings();
    if (bindings.empty()) {
        return;
    }
    std::vector<std::vector<std::pair<InstanceId, BindingMessage>>> byWorker(m_workers.size());
    for (const IncomingBinding &binding : bindings) {
        const std::size_t worker = steeringOf(binding.message.flow.caller) % m_workers.size();
        byWorker[worker].emplace_back(binding.from, binding.message);
    }
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        if (!byWorker[index].empty()) {
            m_workers[index]->applyBindings(std::move(byWorker[index]));
        }
    }
}

void NodeControl::onSweepCompleted(std::uint32_t worker, std::uint64_t version)
{
    m_sweptVersions[worker] = version;
    const TimePoint now = currentTime();
    m_control.onSweepCompleted(*std::min_element(m_sweptVersions.begin(), m_sweptVersions.end()));
    publish(now);
}

void NodeControl::writeRecords(std::vector<FlowRecord> records)
{
    withFailure([&]() { return m_records.write(records, wallMilliseconds()); },
        [](const Failure &failure) {
            LogEvent(Severity::Error, "records-lost").with("reason", describe(failure));
        });
}

TrafficCounters NodeControl::traffic() const
{
    TrafficCounters sum;
    for (const std::unique_ptr<TrafficWorker> &worker : m_workers) {
        worker->stats().addTo(sum);
    }
    return sum;
}

} // namespace jasminequay
