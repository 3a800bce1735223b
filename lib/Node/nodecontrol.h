// The control thread of an instance, private to the Node library.
#pragma once

#include "jasminequay/Control/instancecontrol.h"
#include "jasminequay/Fabric/steering.h"
#include "jasminequay/Node/metricspage.h"
#include "jasminequay/Node/node.h"
#include "jasminequay/Node/trafficworker.h"
#include "jasminequay/Platform/operatorserver.h"
#include "jasminequay/Platform/platformwatch.h"
#include "jasminequay/Platform/targetprober.h"
#include "jasminequay/Record/recordwriter.h"
#include "jasminequay/Support/timerservice.h"

#include <boost/asio/signal_set.hpp>

#include <memory>
#include <string>
#include <vector>

namespace jasminequay
{

/// Owns the traffic threads, connections and files of one instance and runs its control thread.
class NodeControl
{
public:
    NodeControl(const InstanceSettings &settings, std::string treeFile);
    ~NodeControl();

    /// Opens all sockets and files.
    Result<void> open();

    /// Runs until the instance has ended.
    NodeExitReason run();

private:
    using Descriptor = boost::asio::posix::stream_descriptor;

    Result<void> openWorkers();
    WorkerHooks workerHooks();
    void subscribeTimers(TimePoint now);
    void scheduleTimers();
    void watchPlatform();
    void watchPeers();
    void waitForPeers(Descriptor &descriptor);
    void waitForSignal();
    void readTreeFile();
    void receivePeers();
    void publish(TimePoint now);
    void publishSnapshot(const RoutingSnapshot &snapshot);
    void sendOutgoing();
    void deliverBindings();
    void beginLeave();
    void checkLeave(TimePoint now);
    void finish(NodeExitReason end);
    void writeRecords(std::vector<FlowRecord> records);
    void onSweepCompleted(std::uint32_t worker, std::uint64_t version);
    [[nodiscard]] TrafficCounters traffic() const;
    [[nodiscard]] Duration drainDeadline() const;
    [[nodiscard]] OperatorPage pageFor(const std::string &path) const;
    [[nodiscard]] std::vector<ProbedTarget> probedTargets() const;

    InstanceSettings m_settings;
    std::string m_treeFile;
    std::uint64_t m_incarnation;
    boost::asio::io_context m_context{1};
    InstanceControl m_control;
    PeerLink m_link;
    RecordWriter m_records;
    TimerService m_timers;
    boost::asio::steady_timer m_timer{m_context};
    boost::asio::signal_set m_signals{m_context};
    OperatorServer m_operatorServer;
    std::unique_ptr<PlatformWatch> m_settingsWatch;
    std::unique_ptr<PlatformWatch> m_instancesWatch;
    std::unique_ptr<TargetProber> m_prober;
    std::vector<std::unique_ptr<Descriptor>> m_peerDescriptors;
    std::vector<std::unique_ptr<TrafficWorker>> m_workers;
    std::vector<std::uint64_t> m_sweptVersions;
    std::uint64_t m_instanceListVersion = 0;
    bool m_isLeaving = false;
    TimePoint m_leaveStarted;
    TimePoint m_idleSince;
    std::uint64_t m_lastFabricPackets = 0;
    NodeExitReason m_end = NodeExitReason::Drained;
};

} // namespace jasminequay
