// The control part of an instance that steers by token: what it knows, when it reads, and what it says.
#pragma once

#include "jasminequay/Fleet/fleetcontrol.h"
#include "jasminequay/Node/loadwatch.h"
#include "jasminequay/Node/peerchannel.h"
#include "jasminequay/Node/steeringpath.h"
#include "jasminequay/Platform/reachabilityprobe.h"
#include "jasminequay/Settings/steeringinstancesettings.h"

#include <map>

namespace jasminequay
{

/// What the store was asked, and how it answered.
struct StoreCounters {
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    std::uint64_t changes = 0; ///< Routes and entries of targets that came from it.
};

/// Probes of targets, by outcome.
using ProbeCounters = std::map<Reachability, std::uint64_t>;

/// Connects the engine, the fleet and the peers. One thread uses it.
class SteeringControl
{
public:
    /// `targetNameHeader` is where targets tell their name; `incarnation` grows with each start.
    SteeringControl(boost::asio::io_context &context, const SteeringInstanceSettings &settings,
        std::string targetNameHeader, std::uint64_t incarnation, TimePoint now);

    /// Opens the channel to the peers.
    Result<void> open();

    /// Decides about the next read of the store.
    [[nodiscard]] StoreReadRequest nextRead(TimePoint now) const;

    /// Takes the outcome of a read.
    void takeAnswer(const StoreAnswer &answer, TimePoint startedAt, TimePoint now);

    /// Logs a decision that changes where a flow goes or ends it.
    void noteDecision(const PacketSummary &packet, const SteeringDecision &decision, TimePoint now);

    /// Ages what is known; returns the resets that follow.
    std::vector<PendingReset> tick(TimePoint now);

    /// Takes settings that have changed while the instance runs.
    void adopt(const SteeringInstanceSettings &settings);

    /// Stops being ready; the instance goes on forwarding.
    void beginLeave(TimePoint now);

    /// Tells whether the instance would serve, and goes on doing so.
    [[nodiscard]] bool isReady() const
    {
        return m_fleet.isLoaded() && !m_isLeaving;
    }

    /// Tells whether packets may be decided about: routes and targets are known, and after a pause they were
    /// renewed or could not be for a while.
    [[nodiscard]] bool maySteer(TimePoint now) const;

    /// Returns when the instance last woke from a pause; the start of time if it has not slept.
    [[nodiscard]] TimePoint wokeAt() const
    {
        return m_wokeAt;
    }

    /// Returns what peers fetch.
    [[nodiscard]] std::string image(const FetchRequest &request, TimePoint now);

    [[nodiscard]] SteeringEngine &engine()
    {
        return m_engine;
    }
    [[nodiscard]] const FleetControl &fleet() const
    {
        return m_fleet;
    }
    [[nodiscard]] const StoreCounters &storeCounters() const
    {
        return m_store;
    }
    [[nodiscard]] const PeerCounters &peerCounters() const
    {
        return m_peers.counters();
    }
    [[nodiscard]] const ProbeCounters &probeCounters() const
    {
        return m_probes;
    }

private:
    void takeNews(const FleetMessage &news, TimePoint now);
    [[nodiscard]] bool isWaking(TimePoint now) const;
    void perform(const FleetActions &actions);
    void noteChanges(TimePoint now);
    [[nodiscard]] std::string ageText(TimePoint now) const;
    void noteStore(const StoreAnswer &answer);
    void noteResets(const std::vector<PendingReset> &resets, TimePoint now);
    void startProbes(TimePoint now);
    void shareLosses(TimePoint now);
    void detectPause(TimePoint now);
    boost::asio::awaitable<void> probe(std::uint64_t key, Endpoint address, ProbeQuestion question);
    void noteProbe(KnownTarget &target, const TargetProbe &found, TimePoint startedAt, TimePoint now);

    boost::asio::io_context &m_context;
    SteeringInstanceSettings m_settings;
    std::string m_targetNameHeader;
    SteeringEngine m_engine;
    FleetControl m_fleet;
    PeerChannel m_peers;
    LoadWatch m_loadWatch;
    StoreCounters m_store;
    ProbeCounters m_probes;
    bool m_isStoreFailing = false;
    bool m_isLeaving = false;
    std::uint64_t m_loggedVersion = 0;
    bool m_wasReading = false;
    std::map<std::uint64_t, TimePoint> m_reportedLosses;
    TimePoint m_tickedAt;
    TimePoint m_wokeAt;
};

} // namespace jasminequay
