// A workload of callers and targets around a fake fleet, which tracks the outcome of each flow.
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

/// A target in the settings of a test.
struct TargetSpec {
    std::string address;
    std::string state = "serving";
};

/// A service in the settings of a test.
struct ServiceSpec {
    std::string name;
    std::string address;
    std::string protocol;
    std::string settings; ///< Further lines of YAML, indented as in the settings text.
    std::vector<TargetSpec> targets;
};

/// Returns a settings text for the data centre of the fake fleet.
std::string makeSettingsText(std::uint64_t version, const std::vector<ServiceSpec> &services);

/// Returns the services that most tests use: two over TCP and a UDP service whose requests may not run twice.
std::vector<ServiceSpec> defaultServices();

/// Opens flows to the services of a settings text, simulates the targets, and checks the packets.
class FleetWorkload
{
public:
    FleetWorkload(FakeFleet &fleet, const std::vector<ServiceSpec> &services);

    /// Assigns a target to another service; packets of other services then count as misdelivered.
    void moveTarget(const std::string &target, const std::string &service);

    /// Opens a TCP flow whose answer takes about `seconds`.
    void openTcp(const std::string &service, std::uint32_t seconds);

    /// Opens a UDP flow of one request, which is resent until it is answered.
    void openUdp(const std::string &service);

    /// Resends the request of every UDP flow until it is answered again.
    void resendAllUdp();

    /// Sets whether UDP targets accept requests without answering.
    void setTargetsSilent(bool areSilent)
    {
        m_areTargetsSilent = areSilent;
    }

    /// Opens a flow to each service at every interval while the fleet runs; a zero interval stops.
    void openPeriodically(Duration interval)
    {
        m_openInterval = interval;
    }

    /// Returns the number of TCP flows that broke or were never answered.
    [[nodiscard]] std::uint64_t broken() const;
    [[nodiscard]] std::uint64_t completed() const;
    [[nodiscard]] std::uint64_t refused() const;

    /// Returns the number of flows of a service whose packets reached more than one target.
    [[nodiscard]] std::uint64_t flowsAtSeveralTargets(const std::string &service) const;

    /// Returns the number of packets that reached a target of another service or belong to no known flow.
    [[nodiscard]] std::uint64_t misdelivered() const
    {
        return m_misdelivered;
    }

    /// Returns the number of UDP answers that do not match the caller's request.
    [[nodiscard]] std::uint64_t wrongAnswers() const
    {
        return m_wrongAnswers;
    }

    /// Returns the number of flows that were refused although packets had reached a target.
    [[nodiscard]] std::uint64_t refusedButDelivered() const;

    /// Returns the number of UDP flows that were answered.
    [[nodiscard]] std::uint64_t answered() const;

    /// Returns the number of flows opened.
    [[nodiscard]] std::size_t opened() const
    {
        return m_flows.size();
    }

    /// Returns when a target last received the first packet of a flow; the epoch if it never did.
    [[nodiscard]] TimePoint lastNewFlowAt(const std::string &target) const;

    /// Returns the bytes that targets received and sent, as carried by the fabric.
    [[nodiscard]] std::pair<std::uint64_t, std::uint64_t> targetBytes() const
    {
        return {m_bytesToTargets, m_bytesToCallers};
    }

    /// Returns why flows broke, for assertion messages.
    [[nodiscard]] std::string brokenFlowReasons() const;

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
    void resendUdp(Endpoint caller, Flow &flow);
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
    std::deque<std::pair<standin::Bytes, FabricSide>> m_pending; ///< Packets to send at the next step.
    std::uint32_t m_callerNumber = 0;
    std::uint64_t m_misdelivered = 0;
    std::uint64_t m_wrongAnswers = 0;
    std::uint64_t m_bytesToTargets = 0;
    std::uint64_t m_bytesToCallers = 0;
    bool m_areTargetsSilent = false;
    Duration m_openInterval{};
    TimePoint m_openedAt;
};

} // namespace jasminequay
