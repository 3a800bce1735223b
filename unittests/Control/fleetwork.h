// Callers and targets around a fake fleet, and what each flow met.
#pragma once

#include "fakefleet.h"
#include "tcpcaller.h"
#include "tcptarget.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace jasminequay
{

/// A target as the tests write it into a tree.
struct TargetSpec {
    std::string address;
    std::string state = "serving";
};

/// A service as the tests write it into a tree.
struct ServiceSpec {
    std::string name;
    std::string address;
    std::string protocol;
    std::string settings; ///< Further lines, indented as in the tree.
    std::vector<TargetSpec> targets;
};

/// Writes a tree for the data centre of the fake fleet.
std::string makeSettingsText(std::uint64_t version, const std::vector<ServiceSpec> &services);

/// Returns the services that most tests use: two over TCP, and one over UDP whose requests may not run twice.
std::vector<ServiceSpec> usualServices();

/// Flows against the services of a tree.
class FleetWorkload
{
public:
    FleetWorkload(FakeFleet &fleet, const std::vector<ServiceSpec> &services);

    /// Says that from now on a target belongs to another service.
    void moveTarget(const std::string &target, const std::string &service);

    /// Opens a TCP flow whose answer takes about `seconds`.
    void openTcp(const std::string &service, std::uint32_t seconds);

    /// Opens a UDP flow of one request, which is repeated until the answer comes.
    void openUdp(const std::string &service);

    /// Sends one more datagram of every UDP flow.
    void resendAllUdp();

    /// Makes UDP targets take requests without answering.
    void muteTargets(bool areMute)
    {
        m_areTargetsMute = areMute;
    }

    /// Opens flows of all services at an interval while the fleet runs.
    void openSteadily(Duration interval)
    {
        m_interval = interval;
    }

    [[nodiscard]] std::uint64_t broken() const;
    [[nodiscard]] std::uint64_t whole() const;
    [[nodiscard]] std::uint64_t refused() const;

    /// Returns the flows whose packets reached more than one target.
    [[nodiscard]] std::uint64_t flowsAtSeveralTargets(const std::string &service) const;

    /// Returns the packets that reached a target of another service.
    [[nodiscard]] std::uint64_t misdelivered() const
    {
        return m_misdelivered;
    }

    /// Returns the answers that were not those to the caller's own request.
    [[nodiscard]] std::uint64_t crossed() const
    {
        return m_crossed;
    }

    /// Returns the flows that were refused and yet reached a target.
    [[nodiscard]] std::uint64_t refusedButRun() const;

    /// Returns the UDP flows that got an answer.
    [[nodiscard]] std::uint64_t answered() const;

    /// Returns the flows opened.
    [[nodiscard]] std::size_t opened() const
    {
        return m_flows.size();
    }

    /// Returns when a target last got the first packet of a flow.
    [[nodiscard]] TimePoint lastNewFlowAt(const std::string &target) const;

    /// Returns the bytes that targets got and sent, as the fabric carried them.
    [[nodiscard]] std::pair<std::uint64_t, std::uint64_t> targetBytes() const
    {
        return {m_bytesToTargets, m_bytesToCallers};
    }

    /// Returns why flows broke, for messages.
    [[nodiscard]] std::string reasons() const;

private:
    /// One flow.
    struct Flow {
        std::string service;
        std::unique_ptr<standin::TcpCaller> caller;
        standin::Request request;
        Endpoint address;
        std::set<Endpoint> targets;
        TimePoint sentAt;
        int sends = 0;
        bool isAnswered = false;
        bool isRefused = false;
    };

    void step();
    void repeatUdp(Endpoint caller, Flow &flow);
    void onCallerPacket(const PacketView &packet);
    void onTargetPacket(const PacketView &packet);
    [[nodiscard]] Endpoint nextCaller();

    FakeFleet &m_fleet;
    std::vector<ServiceSpec> m_services;
    std::map<Endpoint, std::string> m_serviceOfTarget;
    std::map<Endpoint, TimePoint> m_lastNewFlow;
    standin::TargetLedger m_ledger;
    std::map<Endpoint, std::unique_ptr<standin::TcpTarget>> m_targets;
    std::map<Endpoint, Flow> m_flows;
    std::deque<std::pair<standin::Bytes, FabricSide>> m_pending; ///< Packets for the fleet at the next step.
    std::uint32_t m_number = 0;
    std::uint64_t m_misdelivered = 0;
    std::uint64_t m_crossed = 0;
    std::uint64_t m_bytesToTargets = 0;
    std::uint64_t m_bytesToCallers = 0;
    bool m_areTargetsMute = false;
    Duration m_interval{};
    TimePoint m_openedAt;
};

} // namespace jasminequay
