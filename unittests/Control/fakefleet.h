// Several instances with their real decision libraries, in one thread, with injected time and a network that
// can fail.
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

/// What the network does to messages between instances.
struct NetworkFaults {
    double loss = 0;
    double duplication = 0;
    Duration delay = std::chrono::milliseconds(1);
    Duration jitter{}; ///< Reorders messages.
};

/// Takes the packets that leave the fleet.
struct FleetSink {
    std::function<void(const PacketView &)> toCaller;
    std::function<void(const PacketView &)> toTarget;
};

/// One instance of the fleet.
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

    /// Lets the control part and the engine act.
    void step(TimePoint now);

    /// Handles a packet of the fabric.
    void onFabric(standin::Bytes packet, FabricSide side, TimePoint now);

    /// Handles a data message of a peer.
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
    void finish();

    InstanceSettings m_settings;
    DataChannel m_channel;
    PacketPath m_path;
    const FleetSink &m_sink;
    std::vector<PeerDatagram> m_datagrams;
    TimePoint m_tickedAt;
    std::uint64_t m_reportedVersion = 0;
};

/// The fleet with its network and its platform.
class FakeFleet
{
public:
    explicit FakeFleet(std::uint64_t seed, std::uint32_t flowTableSize = 4096);

    /// Publishes a tree; every instance that the platform reaches gets it.
    void publish(const std::string &tree);

    /// Starts an instance and lists it.
    FakeInstance &start(const std::string &name);

    /// Kills an instance without a word. The list keeps it until it is unlisted.
    void kill(const std::string &name);

    /// Takes an instance off the platform's list.
    void unlist(const std::string &name);

    /// Starts a graceful leave.
    void leave(const std::string &name);

    /// Stops or resumes an instance; messages to a stopped one wait.
    void freeze(const std::string &name, bool isFrozen);

    /// Cuts or heals messages from one instance to another, one way.
    void cut(const std::string &from, const std::string &to, bool isCut);

    /// Makes the platform answer or not.
    void setPlatform(bool isUp)
    {
        m_isPlatformUp = isUp;
    }

    /// Runs for a time, in steps of a few milliseconds.
    void run(Duration duration);

    /// Sends a packet of a caller or a target through an instance picked at random.
    void spray(const standin::Bytes &packet, FabricSide side);

    /// Sends it through one instance.
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

    /// Returns the bytes of control messages sent so far.
    [[nodiscard]] std::uint64_t controlBytes() const
    {
        return m_controlBytes;
    }

    FleetSink sink;
    NetworkFaults faults;
    std::set<std::string> unreachable; ///< Instances that get no packets from the fabric.
    std::function<void()> onStep; ///< Called at each step, for callers and targets.
    std::vector<FlowRecord> records; ///< Of all instances, those that are gone included.

private:
    /// A message on its way.
    struct Message {
        TimePoint due;
        std::string from;
        std::string to;
        std::variant<std::string, standin::Bytes> content; ///< An encoded control message or a data message.
    };

    void step();
    void deliverDue();
    void collect(const std::string &name, FakeInstance &instance);
    void post(Message message);
    void tellPlatform(FakeInstance &instance);
    [[nodiscard]] InstanceSettings settingsFor(const std::string &name);

    std::mt19937_64 m_random;
    TimePoint m_now;
    std::map<std::string, std::unique_ptr<FakeInstance>> m_instances;
    std::map<Endpoint, std::string> m_byData;
    std::map<std::string, std::uint16_t> m_numbers;
    std::multimap<TimePoint, Message> m_messages;
    std::set<std::pair<std::string, std::string>> m_cuts;
    InstanceList m_list;
    std::string m_tree;
    std::uint32_t m_flowTableSize;
    bool m_isPlatformUp = true;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_controlBytes = 0;
};

} // namespace jasminequay
