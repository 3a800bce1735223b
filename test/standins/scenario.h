// Callers and targets of a run, and what they saw.
#pragma once

#include "fabricloop.h"
#include "tcpcaller.h"
#include "tcptarget.h"

#include "jasminequay/Settings/configuration.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace jasminequay::standin
{

/// What becomes of the calls of a run.
struct ScenarioCounts {
    std::uint64_t flows = 0;
    std::uint64_t whole = 0;
    std::uint64_t broken = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t wrongService = 0;
    std::uint64_t runTwice = 0;
    double imbalance = 0; ///< The mean over time of the fullest target over the mean, averaged over services.
};

/// How the callers behave.
struct ScenarioPlan {
    std::uint32_t calls = 400;
    std::uint32_t longShare = 50; ///< Per cent of calls that are long downloads.
    std::uint32_t longBytes = 1'200'000;
    std::uint32_t paceBytes = 6000; ///< Of a long download, in a tenth of a second.
    std::uint32_t shortBytes = 4000;
    Duration arrivalInterval = std::chrono::milliseconds(40);
};

/// Runs callers against the services of a configuration.
class Scenario
{
public:
    Scenario(FabricLoop &fabric, const Configuration &configuration, const ScenarioPlan &plan);

    /// Starts calls, retransmits and paces; called every few milliseconds.
    void tick(TimePoint now);

    /// Tells whether every call has ended.
    [[nodiscard]] bool hasEnded() const;

    /// Returns the flows opened at one target so far.
    [[nodiscard]] std::uint64_t openedAt(Endpoint target) const;

    [[nodiscard]] ScenarioCounts counts() const;

    /// Returns a line for each call that broke.
    [[nodiscard]] std::vector<std::string> breaks() const;

private:
    void startCall(TimePoint now);
    void sampleImbalance();

    FabricLoop &m_fabric;
    Configuration m_configuration;
    ScenarioPlan m_plan;
    TargetLedger m_ledger;
    std::map<Endpoint, std::unique_ptr<TcpTarget>> m_targets;
    std::map<Endpoint, std::unique_ptr<TcpCaller>> m_callers;
    std::uint32_t m_started = 0;
    TimePoint m_nextStart;
    double m_imbalanceSum = 0;
    std::uint64_t m_imbalanceSamples = 0;
};

} // namespace jasminequay::standin
