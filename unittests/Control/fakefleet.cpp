#include "fakefleet.h"

#include "jasminequay/Packet/packetparser.h"

#include <algorithm>

namespace jasminequay
{

constexpr Duration StepInterval = std::chrono::milliseconds(5);
/// Flow table slots that an engine sweeps in each step.
constexpr std::size_t SweptSlotsPerStep = 2048;

static EngineLimits engineLimits(const InstanceSettings &settings)
{
    EngineLimits limits;
    limits.flows = settings.flowTableSize;
    return limits;
}

FakeInstance::FakeInstance(
    const InstanceSettings &settings, std::uint64_t incarnation, TimePoint now, const FleetSink &sink)
    : control(settings, incarnation, now, incarnation)
    , engine(instanceIdOf(settings.instance), engineLimits(settings), now)
    , m_settings(settings)
    , m_channel(instanceIdOf(settings.instance), settings.dataKey)
    , m_path(engine, m_channel, *this)
    , m_sink(sink)
    , m_tickedAt(now)
{
}

void FakeInstance::toTargets(std::span<const std::uint8_t> packet)
{
    standin::Bytes bytes(packet.begin(), packet.end());
    m_sink.toTarget(parsePacket(bytes).packet);
}

void FakeInstance::toCallers(std::span<const std::uint8_t> packet)
{
    standin::Bytes bytes(packet.begin(), packet.end());
    m_sink.toCaller(parsePacket(bytes).packet);
}

void FakeInstance::toPeer(std::span<const std::uint8_t> datagram, Endpoint peer)
{
    m_datagrams.push_back({peer, {datagram.begin(), datagram.end()}});
}

void FakeInstance::step(TimePoint now)
{
    if (now - m_tickedAt >= m_settings.heartbeatInterval) {
        m_tickedAt = now;
        control.tick(now);
    }
    if (const std::optional<RoutingSnapshot> snapshot = control.takeSnapshot(now)) {
        auto peers = std::make_shared<PeerDirectory>();
        for (const auto &[name, member] : control.members().members()) {
            peers->emplace(member.id.value, member.peerData);
        }
        engine.applySnapshot(*snapshot);
        m_path.setPeers(peers);
    }
    for (const IncomingBinding &binding : control.takeBindings()) {
        engine.onBinding(binding.from, binding.message, now);
    }
    engine.sweep(SweptSlotsPerStep, now);
    drainOutput();
}

void FakeInstance::drainOutput()
{
    engine.extendLease(control.leaseUntil());
    std::vector<OutgoingBinding> forControl;
    m_path.sendEngineOutput(forControl);
    m_path.releaseBuffers();
    if (!forControl.empty()) {
        control.onEngineBindings(forControl);
    }
    for (FlowRecord &record : engine.takeRecords()) {
        records.push_back(std::move(record));
    }
    if (engine.sweptVersion() != m_reportedVersion) {
        m_reportedVersion = engine.sweptVersion();
        control.onSweepCompleted(m_reportedVersion);
    }
}

void FakeInstance::onFabric(standin::Bytes packet, FabricSide side, TimePoint now)
{
    m_path.onFabricPacket(packet, side, now);
    drainOutput();
}

void FakeInstance::onPeerData(const standin::Bytes &datagram, TimePoint now)
{
    m_path.onPeerDatagram(datagram, now);
    drainOutput();
}

FakeFleet::FakeFleet(std::uint64_t seed, std::uint32_t flowTableSize)
    : m_random(seed)
    , m_now(std::chrono::hours(1))
    , m_flowTableSize(flowTableSize)
{
    sink.toCaller = [](const PacketView &) {
    };
    sink.toTarget = [](const PacketView &) {
    };
}

InstanceSettings FakeFleet::settingsFor(const std::string &name)
{
    const std::uint16_t number
        = m_instanceNumbers.emplace(name, static_cast<std::uint16_t>(m_instanceNumbers.size() + 1))
              .first->second;
    InstanceSettings settings;
    settings.instance = name;
    settings.dataCentre = "dc-1";
    settings.peerData = {{0x7f000001}, static_cast<std::uint16_t>(10000 + number)};
    settings.peerControl = {{0x7f000001}, static_cast<std::uint16_t>(20000 + number)};
    settings.platform = {{0x7f000001}, 9};
    settings.dataKey = std::string(64, 'a');
    settings.flowTableSize = m_flowTableSize;
    return settings;
}

FakeInstance &FakeFleet::start(const std::string &name)
{
    const InstanceSettings settings = settingsFor(name);
    m_nameByDataAddress[settings.peerData] = name;
    std::erase_if(m_list.instances, [&](const ListedInstance &listed) { return listed.name == name; });
    m_list.instances.push_back({name, settings.dataCentre, settings.peerData, settings.peerControl, false});
    ++m_list.version;
    m_instances[name] = std::make_unique<FakeInstance>(settings, ++m_incarnations, m_now, sink);
    unreachable.erase(name);
    return *m_instances[name];
}

void FakeFleet::kill(const std::string &name)
{
    FakeInstance &instance = at(name);
    records.insert(records.end(), instance.records.begin(), instance.records.end());
    m_instances.erase(name);
}

void FakeFleet::unlist(const std::string &name)
{
    std::erase_if(m_list.instances, [&](const ListedInstance &listed) { return listed.name == name; });
    ++m_list.version;
}

void FakeFleet::leave(const std::string &name)
{
    at(name).isLeaving = true;
    at(name).control.beginLeave();
    for (ListedInstance &listed : m_list.instances) {
        listed.isLeaving = listed.isLeaving || listed.name == name;
    }
    ++m_list.version;
}

void FakeFleet::freeze(const std::string &name, bool isFrozen)
{
    at(name).isFrozen = isFrozen;
}

void FakeFleet::cut(const std::string &from, const std::string &to, bool isCut)
{
    if (isCut) {
        m_cutLinks.emplace(from, to);
    } else {
        m_cutLinks.erase({from, to});
    }
}

void FakeFleet::publish(const std::string &settingsText)
{
    m_settingsText = settingsText;
}

std::vector<std::string> FakeFleet::names() const
{
    std::vector<std::string> names;
    for (const auto &[name, instance] : m_instances) {
        names.push_back(name);
    }
    return names;
}

void FakeFleet::run(Duration duration)
{
    const TimePoint end = m_now + duration;
    while (m_now < end) {
        step();
    }
}

void FakeFleet::step()
{
    m_now += StepInterval;
    deliverDue();
    for (const auto &[name, instance] : m_instances) {
        if (instance->isFrozen) {
            continue;
        }
        deliverPlatformState(*instance);
        instance->step(m_now);
        collectOutput(name, *instance);
    }
    if (onStep) {
        onStep();
    }
}

void FakeFleet::deliverPlatformState(FakeInstance &instance)
{
    if (!instance.control.shouldWatchPlatform()) {
        return;
    }
    instance.control.setPlatformFailing(!m_isPlatformUp);
    if (!m_isPlatformUp) {
        return;
    }
    if (!m_settingsText.empty()) {
        instance.control.onSettings(m_settingsText, m_now);
    }
    instance.control.onInstanceList(m_list, m_now);
}

void FakeFleet::sendMessage(Message message)
{
    std::uniform_real_distribution<double> chance(0, 1);
    if (m_cutLinks.contains({message.from, message.to})) {
        return;
    }
    // Control messages use connections: only cut links lose them.
    const bool isData = std::holds_alternative<standin::Bytes>(message.content);
    if (isData && chance(m_random) < faults.loss) {
        return;
    }
    const int copies = isData && chance(m_random) < faults.duplication ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const double share = isData ? chance(m_random) : 0;
        message.due
            = m_now + faults.delay + Duration(static_cast<Duration::rep>(share * faults.jitter.count()));
        m_messages.emplace(message.due, message);
    }
}

void FakeFleet::collectOutput(const std::string &name, FakeInstance &instance)
{
    for (const FakeInstance::PeerDatagram &datagram : instance.takeDatagrams()) {
        if (const auto found = m_nameByDataAddress.find(datagram.to); found != m_nameByDataAddress.end()) {
            sendMessage({m_now, name, found->second, datagram.bytes});
        }
    }
    for (const OutgoingControl &outgoing : instance.control.takeOutgoing()) {
        std::string bytes = encodeControl({name, outgoing.body});
        m_controlBytes += bytes.size();
        sendMessage({m_now, name, outgoing.to, std::move(bytes)});
    }
}

void FakeFleet::deliverDue()
{
    while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
        Message message = std::move(m_messages.begin()->second);
        m_messages.erase(m_messages.begin());
        const auto found = m_instances.find(message.to);
        if (found == m_instances.end()) {
            continue;
        }
        FakeInstance &instance = *found->second;
        if (instance.isFrozen) {
            // The sockets of a stopped process buffer what arrives.
            message.due = m_now + StepInterval;
            m_messages.emplace(message.due, std::move(message));
            continue;
        }
        if (const auto *const datagram = std::get_if<standin::Bytes>(&message.content); datagram != nullptr) {
            instance.onPeerData(*datagram, m_now);
        } else {
            const std::string &bytes = std::get<std::string>(message.content);
            withFailure(
                [&]() -> Result<void> {
                    BOOST_LEAF_AUTO(decoded, decodeControl(bytes, message.from));
                    instance.control.onMessage(decoded, m_now);
                    return {};
                },
                [](const Failure &) {});
        }
        collectOutput(message.to, instance);
    }
}

void FakeFleet::sendViaRandomInstance(const standin::Bytes &packet, FabricSide side)
{
    std::vector<std::string> candidates;
    for (const auto &[name, instance] : m_instances) {
        if (!unreachable.contains(name)) {
            candidates.push_back(name);
        }
    }
    if (!candidates.empty()) {
        std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
        sendVia(candidates[index(m_random)], packet, side);
    }
}

void FakeFleet::sendVia(const std::string &name, const standin::Bytes &packet, FabricSide side)
{
    const auto found = m_instances.find(name);
    if (found == m_instances.end() || found->second->isFrozen) {
        return;
    }
    found->second->onFabric(packet, side, m_now);
    collectOutput(name, *found->second);
}

} // namespace jasminequay
