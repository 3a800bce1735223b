#include "scenario.h"

#include <algorithm>

namespace jasminequay::standin
{

constexpr std::uint32_t FirstCallerAddress = 0x0a090001; // 10.9.0.1
constexpr std::uint16_t FirstCallerPort = 20000;

Scenario::Scenario(FabricLoop &fabric, const Configuration &configuration, const ScenarioPlan &plan)
    : m_fabric(fabric)
    , m_configuration(configuration)
    , m_plan(plan)
{
    std::uint32_t number = 0;
    for (const ServiceSettings &service : configuration.services) {
        for (const TargetSettings &target : service.targets) {
            m_targets.emplace(target.address,
                std::make_unique<TcpTarget>(target.address, number, m_ledger,
                    [this](const Bytes &packet) { m_fabric.fromTarget(packet); }));
        }
        ++number;
    }
    fabric.deliverTo(
        [this](const PacketView &packet) {
            const auto found = m_callers.find(packet.destination);
            if (found != m_callers.end() && packet.protocol == Protocol::Tcp && !packet.isIcmpError()) {
                found->second->receive(packet, std::chrono::steady_clock::now());
            }
        },
        [this](const PacketView &packet) {
            const auto found = m_targets.find(packet.destination);
            if (found != m_targets.end() && packet.protocol == Protocol::Tcp && !packet.isIcmpError()) {
                found->second->receive(packet, std::chrono::steady_clock::now());
            }
        });
}

void Scenario::startCall(TimePoint now)
{
    const std::uint32_t number = m_started++;
    const std::size_t serviceNumber = number % m_configuration.services.size();
    const bool isLong = number / m_configuration.services.size() % 100 < m_plan.longShare;
    Request request;
    request.service = static_cast<std::uint32_t>(serviceNumber);
    request.number = number + 1;
    request.answerSize = isLong ? m_plan.longBytes : m_plan.shortBytes;
    request.paceBytes = isLong ? m_plan.paceBytes : 0;
    const Endpoint self{
        {FirstCallerAddress + number / 20000}, static_cast<std::uint16_t>(FirstCallerPort + number % 20000)};
    m_callers.emplace(self,
        std::make_unique<TcpCaller>(
            self, m_configuration.services[serviceNumber].address, request,
            [this](const Bytes &packet) { m_fabric.fromCaller(packet); }, now));
}

void Scenario::tick(TimePoint now)
{
    while (m_started < m_plan.calls && now >= m_nextStart) {
        startCall(now);
        m_nextStart = std::max(m_nextStart, now - m_plan.arrivalInterval) + m_plan.arrivalInterval;
    }
    for (const auto &[endpoint, caller] : m_callers) {
        caller->tick(now);
    }
    for (const auto &[endpoint, target] : m_targets) {
        target->tick(now);
    }
    sampleImbalance();
}

void Scenario::sampleImbalance()
{
    for (const ServiceSettings &service : m_configuration.services) {
        std::size_t most = 0;
        std::size_t sum = 0;
        for (const TargetSettings &target : service.targets) {
            const std::size_t open = m_targets.at(target.address)->openFlows();
            most = std::max(most, open);
            sum += open;
        }
        // With fewer flows than this a single one decides the figure.
        if (sum >= 4 * service.targets.size()) {
            m_imbalanceSum += static_cast<double>(most * service.targets.size()) / static_cast<double>(sum);
            ++m_imbalanceSamples;
        }
    }
}

bool Scenario::hasEnded() const
{
    return m_started == m_plan.calls && std::all_of(m_callers.begin(), m_callers.end(), [](const auto &item) {
        return item.second->hasEnded();
    });
}

std::uint64_t Scenario::openedAt(Endpoint target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? 0 : found->second->opened();
}

std::vector<std::string> Scenario::breaks() const
{
    std::vector<std::string> lines;
    for (const auto &[endpoint, caller] : m_callers) {
        if (caller->state() == CallState::Broken) {
            lines.push_back("caller " + format(endpoint) + " broke: " + caller->reason());
        }
    }
    return lines;
}

ScenarioCounts Scenario::counts() const
{
    ScenarioCounts counts;
    counts.flows = m_callers.size();
    for (const auto &[endpoint, caller] : m_callers) {
        counts.whole += caller->state() == CallState::Whole ? 1 : 0;
        counts.broken += caller->state() == CallState::Broken ? 1 : 0;
        counts.refused += caller->state() == CallState::Refused ? 1 : 0;
        counts.unanswered += caller->state() == CallState::Unanswered ? 1 : 0;
    }
    counts.wrongService = m_ledger.wrongService;
    counts.runTwice = static_cast<std::uint64_t>(std::count_if(
        m_ledger.runs.begin(), m_ledger.runs.end(), [](const auto &item) { return item.second > 1; }));
    counts.imbalance = m_imbalanceSamples == 0 ? 1 : m_imbalanceSum / static_cast<double>(m_imbalanceSamples);
    return counts;
}

} // namespace jasminequay::standin
