#include "fleetwork.h"

#include <algorithm>
#include <sstream>

namespace jasminequay
{

constexpr Duration ResendInterval = std::chrono::milliseconds(300);
constexpr int MaxSends = 40;
constexpr std::uint32_t BytesPerSecond = 20000;

std::string makeSettingsText(std::uint64_t version, const std::vector<ServiceSpec> &services)
{
    std::ostringstream out;
    out << "version: " << version
        << "\ngroup: test\ndefaults:\n  division: test-division\n  idle-timeout: 8s\n"
        << "  handshake-timeout: 3s\n  record-interval: 2s\n  replicate-after: 1s\n"
        << "data-centres:\n  dc-1:\n    services:\n";
    for (const ServiceSpec &service : services) {
        out << "      " << service.name << ":\n        address: " << service.address
            << "\n        protocol: " << service.protocol << "\n";
        if (!service.settings.empty()) {
            out << "        " << service.settings << "\n";
        }
        out << "        targets:\n";
        for (const TargetSpec &target : service.targets) {
            out << "          - {address: " << target.address << ", state: " << target.state << "}\n";
        }
    }
    return out.str();
}

std::vector<ServiceSpec> defaultServices()
{
    return {{"codebook", "10.1.0.1:443", "tcp", "placement: bounded",
                {{"10.2.0.1:80"}, {"10.2.0.2:80"}, {"10.2.0.3:80"}, {"10.2.0.4:80"}}},
        {"bundles", "10.1.0.2:443", "tcp", "placement: least",
            {{"10.2.1.1:80"}, {"10.2.1.2:80"}, {"10.2.1.3:80"}}},
        {"reserve", "10.1.0.3:53", "udp", "repeatable: false",
            {{"10.2.2.1:53"}, {"10.2.2.2:53"}, {"10.2.2.3:53"}, {"10.2.2.4:53"}}}};
}

FleetWorkload::FleetWorkload(FakeFleet &fleet, const std::vector<ServiceSpec> &services)
    : m_fleet(fleet)
    , m_services(services)
{
    std::uint32_t number = 0;
    for (const ServiceSpec &service : services) {
        for (const TargetSpec &target : service.targets) {
            const Endpoint address = *parseEndpoint(target.address);
            m_serviceOfTarget[address] = service.name;
            m_targets[address] = std::make_unique<standin::TcpTarget>(
                address, number, m_ledger, [this](standin::Bytes packet) {
                    m_pending.emplace_back(std::move(packet), FabricSide::Targets);
                });
        }
        ++number;
    }
    fleet.sink.toCaller = [this](const PacketView &packet) {
        onCallerPacket(packet);
    };
    fleet.sink.toTarget = [this](const PacketView &packet) {
        onTargetPacket(packet);
    };
    fleet.onStep = [this]() {
        step();
    };
}

void FleetWorkload::moveTarget(const std::string &target, const std::string &service)
{
    m_serviceOfTarget[*parseEndpoint(target)] = service;
}

Endpoint FleetWorkload::nextCaller()
{
    ++m_callerNumber;
    return {
        {0x0a090000U + m_callerNumber / 30000}, static_cast<std::uint16_t>(20000 + m_callerNumber % 30000)};
}

void FleetWorkload::openTcp(const std::string &service, std::uint32_t seconds)
{
    const auto found = std::find_if(m_services.begin(), m_services.end(),
        [&](const ServiceSpec &candidate) { return candidate.name == service; });
    const Endpoint caller = nextCaller();
    Flow &flow = m_flows[caller];
    flow.service = service;
    flow.address = *parseEndpoint(found->address);
    flow.request = {static_cast<std::uint32_t>(found - m_services.begin()), m_callerNumber,
        std::max<std::uint32_t>(seconds * BytesPerSecond, 500), seconds > 0 ? BytesPerSecond / 10 : 0};
    flow.caller = std::make_unique<standin::TcpCaller>(
        caller, flow.address, flow.request,
        [this](standin::Bytes packet) { m_pending.emplace_back(std::move(packet), FabricSide::Callers); },
        m_fleet.now());
}

void FleetWorkload::openUdp(const std::string &service)
{
    const auto found = std::find_if(m_services.begin(), m_services.end(),
        [&](const ServiceSpec &candidate) { return candidate.name == service; });
    const Endpoint caller = nextCaller();
    Flow &flow = m_flows[caller];
    flow.service = service;
    flow.address = *parseEndpoint(found->address);
    flow.request = {static_cast<std::uint32_t>(found - m_services.begin()), m_callerNumber, 0, 0};
    flow.sentAt = m_fleet.now() - ResendInterval;
    resendUdp(caller, flow);
}

void FleetWorkload::resendUdp(Endpoint caller, Flow &flow)
{
    const bool isDue = !flow.caller && !flow.isAnswered && !flow.isRefused && flow.sends < MaxSends
        && m_fleet.now() - flow.sentAt >= ResendInterval;
    if (isDue) {
        flow.sentAt = m_fleet.now();
        ++flow.sends;
        m_pending.emplace_back(
            standin::makeUdp(caller, flow.address, flow.request.encode()), FabricSide::Callers);
    }
}

void FleetWorkload::resendAllUdp()
{
    for (auto &[caller, flow] : m_flows) {
        if (!flow.caller) {
            flow.isAnswered = false;
            flow.sends = 0;
        }
    }
}

void FleetWorkload::step()
{
    if (m_openInterval.count() > 0 && m_fleet.now() - m_openedAt >= m_openInterval) {
        m_openedAt = m_fleet.now();
        for (const ServiceSpec &service : m_services) {
            if (service.protocol == "udp") {
                openUdp(service.name);
            } else {
                openTcp(service.name, m_callerNumber % 4);
            }
        }
    }
    for (auto &[caller, flow] : m_flows) {
        if (flow.caller) {
            flow.caller->tick(m_fleet.now());
        }
        resendUdp(caller, flow);
    }
    for (const auto &[address, target] : m_targets) {
        target->tick(m_fleet.now());
    }
    for (std::size_t count = m_pending.size(); count > 0; --count) {
        const auto [packet, side] = std::move(m_pending.front());
        m_pending.pop_front();
        m_fleet.sendViaRandomInstance(packet, side);
    }
}

void FleetWorkload::onCallerPacket(const PacketView &packet)
{
    // Refusals are sent by the fleet itself. A reset sent by a target carries no acknowledgement.
    const bool isRefusal = packet.isIcmpError() || (packet.flags.rst && packet.flags.ack);
    m_bytesToCallers += isRefusal ? 0 : packet.bytes.size();
    const auto found = m_flows.find(packet.destination);
    if (found == m_flows.end()) {
        ++m_misdelivered;
        return;
    }
    Flow &flow = found->second;
    if (packet.isIcmpError()) {
        flow.isRefused = true;
        return;
    }
    if (flow.caller) {
        flow.caller->receive(packet, m_fleet.now());
        return;
    }
    const std::optional<standin::Request> answered = standin::Request::decode(standin::udpPayload(packet));
    m_wrongAnswers
        += answered && answered->number == flow.request.number && packet.source == flow.address ? 0 : 1;
    flow.isAnswered = true;
}

void FleetWorkload::onTargetPacket(const PacketView &packet)
{
    m_bytesToTargets += packet.bytes.size();
    const auto found = m_flows.find(packet.source);
    if (found == m_flows.end()) {
        ++m_misdelivered;
        return;
    }
    Flow &flow = found->second;
    m_misdelivered += m_serviceOfTarget[packet.destination] == flow.service ? 0 : 1;
    if (flow.targets.insert(packet.destination).second) {
        m_lastNewFlow[packet.destination] = m_fleet.now();
    }
    if (packet.protocol == Protocol::Tcp) {
        m_targets.at(packet.destination)->receive(packet, m_fleet.now());
        return;
    }
    if (m_areTargetsSilent) {
        return;
    }
    m_pending.emplace_back(standin::makeUdp(packet.destination, packet.source, standin::udpPayload(packet)),
        FabricSide::Targets);
}

static std::uint64_t countWhere(const auto &flows, auto predicate)
{
    return static_cast<std::uint64_t>(
        std::count_if(flows.begin(), flows.end(), [&](const auto &item) { return predicate(item.second); }));
}

std::uint64_t FleetWorkload::broken() const
{
    return countWhere(m_flows, [](const Flow &flow) {
        return flow.caller
            && (flow.caller->state() == standin::CallState::Broken
                || flow.caller->state() == standin::CallState::Unanswered);
    });
}

std::uint64_t FleetWorkload::completed() const
{
    return countWhere(m_flows,
        [](const Flow &flow) { return flow.caller && flow.caller->state() == standin::CallState::Whole; });
}

std::uint64_t FleetWorkload::refused() const
{
    return countWhere(m_flows, [](const Flow &flow) {
        return flow.isRefused || (flow.caller && flow.caller->state() == standin::CallState::Refused);
    });
}

std::uint64_t FleetWorkload::refusedButDelivered() const
{
    return countWhere(m_flows, [](const Flow &flow) {
        const bool wasRefused
            = flow.isRefused || (flow.caller && flow.caller->state() == standin::CallState::Refused);
        return wasRefused && !flow.targets.empty();
    });
}

std::uint64_t FleetWorkload::answered() const
{
    return countWhere(m_flows, [](const Flow &flow) { return flow.isAnswered; });
}

std::uint64_t FleetWorkload::flowsAtSeveralTargets(const std::string &service) const
{
    return countWhere(
        m_flows, [&](const Flow &flow) { return flow.service == service && flow.targets.size() > 1; });
}

TimePoint FleetWorkload::lastNewFlowAt(const std::string &target) const
{
    const auto found = m_lastNewFlow.find(*parseEndpoint(target));
    return found == m_lastNewFlow.end() ? TimePoint{} : found->second;
}

std::string FleetWorkload::brokenFlowReasons() const
{
    std::string text;
    for (const auto &[caller, flow] : m_flows) {
        const bool isBroken = flow.caller
            && (flow.caller->state() == standin::CallState::Broken
                || flow.caller->state() == standin::CallState::Unanswered);
        if (isBroken) {
            text += format(caller) + " of " + flow.service + " at " + std::to_string(flow.targets.size())
                + " targets: " + flow.caller->reason() + "\n";
        }
    }
    return text;
}

} // namespace jasminequay
