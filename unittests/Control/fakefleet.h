// Simulates several instances with the real control and flow libraries in one thread, with injected time and
// a network that can fail.
#pragma once

#include "packetfactory.h"

#include "jasminequay/Control/instancecontrol.h"
#include "jasminequay/Node/packetpath.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace jasminequay
{

/// Faults of the network between instances.
struct NetworkFaults {
    double loss = 0; ///< Probability; applies to data messages only, as does `duplication`.
    double duplication = 0;
    Duration delay = std::chrono::milliseconds(1);
    Duration jitter{}; ///< The maximum random extra delay of data messages, which reorders them.
};

/// Receives the packets that leave the fleet.
struct FleetSink {
    std::function<void(const PacketView &)> toCaller;
    std::function<void(const PacketView &)> toTarget;
};

/// One instance of the fleet, with its control part, flow engine and packet path.
class FakeInstance : private PacketOutput
{
public:
    FakeInstance(
        const InstanceSettings &settings, std::uint64_t incarnation, TimePoint now, const FleetSink &sink);

    InstanceControl control;
    FlowEngine engine;
    bool isFrozen = false;
    bool isLeaving = false;
    std::vector<FlowRecord> records;

    /// Runs the timers of the control part and the engine, and passes snapshots and bindings between them.
    void step(TimePoint now);

    /// Handles a packet from the fabric.
    void onFabric(standin::Bytes packet, FabricSide side, TimePoint now);

    /// Handles a data message from a peer.
    void onPeerData(const standin::Bytes &datagram, TimePoint now);

    /// A datagram to a peer.
    struct PeerDatagram {
        Endpoint to;
        standin::Bytes bytes;
    };

    std::vector<PeerDatagram> takeDatagrams()
    {
        return std::exchange(m_datagrams, {});
    }

    [[nodiscard]] const InstanceSettings &settings() const
    {
        return m_settings;
    }

    [[nodiscard]] TrafficCounters counters()
    {
        return m_path.counters();
    }

private:
    void toTargets(std::span<const std::uint8_t> packet) override;
    void toCallers(std::span<const std::uint8_t> packet) override;
    void toPeer(std::span<const std::uint8_t> datagram, Endpoint peer) override;
    void drainOutput();

    InstanceSettings m_settings;
    DataChannel m_channel;
    PacketPath m_path;
    const FleetSink &m_sink;
    std::vector<PeerDatagram> m_datagrams;
    TimePoint m_tickedAt;
    std::uint64_t m_reportedVersion = 0;
};

/// The fleet with a simulated network and platform.
class FakeFleet
{
public:
    explicit FakeFleet(std::uint64_t seed, std::uint32_t flowTableSize = 4096);

    /// Publishes a settings text on the platform, where the instances read it.
    void publish(const std::string &settingsText);

    /// Starts an instance and adds it to the platform's list.
    FakeInstance &start(const std::string &name);

    /// Stops an instance without a leave. It stays on the platform's list until `unlist`.
    void kill(const std::string &name);

    /// Removes an instance from the platform's list.
    void unlist(const std::string &name);

    /// Starts a graceful leave.
    void leave(const std::string &name);

    /// Freezes or resumes an instance. Messages to a frozen instance are delivered after it resumes.
    void freeze(const std::string &name, bool isFrozen);

    /// Cuts or restores the link from one instance to another, in this direction only.
    void cut(const std::string &from, const std::string &to, bool isCut);

    /// Sets whether the platform answers.
    void setPlatformUp(bool isUp)
    {
        m_isPlatformUp = isUp;
    }

    /// Advances the time by `duration`, in steps of a few milliseconds.
    void run(Duration duration);

    /// Sends a packet of a caller or a target through a random instance.
    void sendViaRandomInstance(const standin::Bytes &packet, FabricSide side);

    /// Sends a packet of a caller or a target through the named instance.
    void sendVia(const std::string &name, const standin::Bytes &packet, FabricSide side);

    [[nodiscard]] FakeInstance &at(const std::string &name)
    {
        return *m_instances.at(name);
    }

    [[nodiscard]] bool has(const std::string &name) const
    {
        return m_instances.contains(name);
    }

    [[nodiscard]] std::vector<std::string> names() const;

    [[nodiscard]] TimePoint now() const
    {
        return m_now;
    }

    [[nodiscard]] std::mt19937_64 &random()
    {
        return m_random;
    }

    /// Returns the total bytes of control messages sent.
    [[nodiscard]] std::uint64_t controlBytes() const
    {
        return m_controlBytes;
    }

    FleetSink sink;
    NetworkFaults faults;
    std::set<std::string> unreachable; ///< Instances that receive no packets from the fabric.
    std::function<void()> onStep; ///< Called at each step, for callers and targets.
    std::vector<FlowRecord> records; ///< The records of killed instances.

private:
    /// A message in transit.
    struct Message {
        TimePoint due;
        std::string from;
        std::string to;
        std::variant<std::string, standin::Bytes> content; ///< An encoded control message or a data message.
    };

    void step();
    void deliverDue();
    void collectOutput(const std::string &name, FakeInstance &instance);
    void sendMessage(Message message);
    void deliverPlatformState(FakeInstance &instance);
    [[nodiscard]] InstanceSettings settingsFor(const std::string &name);

    std::mt19937_64 m_random;
    TimePoint m_now;
    std::map<std::string, std::unique_ptr<FakeInstance>> m_instances;
    std::map<Endpoint, std::string> m_nameByDataAddress;
    std::map<std::string, std::uint16_t> m_instanceNumbers;
    std::multimap<TimePoint, Message> m_messages;
    std::set<std::pair<std::string, std::string>> m_cutLinks;
    InstanceList m_list;
    std::string m_settingsText;
    std::uint32_t m_flowTableSize;
    bool m_isPlatformUp = true;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_controlBytes = 0;
};

} // namespace jasminequay
