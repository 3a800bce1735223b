// The control logic of an instance that steers by token: its view of routes and targets, its reads of the
// store and its messages to peers.
#pragma once

#include "jasminequay/Fleet/fleetcontrol.h"
#include "jasminequay/Node/coldwatch.h"
#include "jasminequay/Node/evacuationwatch.h"
#include "jasminequay/Node/loadwatch.h"
#include "jasminequay/Node/outlierlog.h"
#include "jasminequay/Node/peerchannel.h"
#include "jasminequay/Node/presencewatch.h"
#include "jasminequay/Node/steeringpath.h"
#include "jasminequay/Platform/reachabilityprobe.h"
#include "jasminequay/Settings/steeringinstancesettings.h"

#include <map>

namespace jasminequay
{

/// Counters of calls to the store.
struct StoreCounters {
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    std::uint64_t oversizedAnswers = 0; ///< Answers that were larger than this instance takes.
    std::uint64_t changes = 0; ///< Routes and target entries received.
};

/// The number of target probes by outcome.
using ProbeCounters = std::map<Reachability, std::uint64_t>;

/// Connects the steering engine, the fleet control and the peer channel. Not thread-safe.
class SteeringControl
{
public:
    /// `targetNameHeader` is the HTTP header in which targets state their name; `incarnation` grows with each
    /// start.
    SteeringControl(boost::asio::io_context &context, const SteeringInstanceSettings &settings,
        std::string targetNameHeader, std::uint64_t incarnation, TimePoint now);

    /// Opens the peer channel.
    Result<void> open();

    /// Returns the next read of the store to make, if any.
    [[nodiscard]] StoreReadRequest nextRead(TimePoint now) const;

    /// Applies the answer to a read that was started at `startedAt`.
    void onStoreAnswer(const StoreAnswer &answer, TimePoint startedAt, TimePoint now);

    /// Logs a decision unless the packet was simply forwarded by its token.
    void logDecision(const PacketSummary &packet, const SteeringDecision &decision, TimePoint now);

    /// Runs the periodic work: detects pauses, expires state, starts probes and reports lost targets. Returns
    /// the resets to send.
    std::vector<PendingReset> tick(TimePoint now);

    /// Applies the reloadable part of changed settings: seeds, settings bound and grace period.
    void reconfigure(const SteeringInstanceSettings &settings);

    /// Begins the graceful leave: the instance is no longer ready but goes on forwarding.
    void beginLeave(TimePoint now);

    /// Returns whether the instance is loaded and not leaving.
    [[nodiscard]] bool isReady() const
    {
        return m_fleet.isLoaded() && !m_isLeaving;
    }

    /// Returns whether packets may be processed: routes and targets are known, and after a pause of the
    /// process they have been renewed or the hold time has passed.
    [[nodiscard]] bool maySteer(TimePoint now) const;

    /// Returns when the process last resumed from a pause; a default time point if it was never paused.
    [[nodiscard]] TimePoint resumedAt() const
    {
        return m_resumedAt;
    }

    /// Returns the encoded response to the fetch of a peer; empty before the first load.
    [[nodiscard]] std::string encodedFetchResponse(const FetchRequest &request, TimePoint now);

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
        return m_storeCounters;
    }
    [[nodiscard]] const PeerCounters &peerCounters() const
    {
        return m_peers.counters();
    }
    [[nodiscard]] const ProbeCounters &probeCounters() const
    {
        return m_probeCounters;
    }

private:
    void onMessage(const FleetMessage &message, TimePoint now);
    [[nodiscard]] bool isResuming(TimePoint now) const;
    void perform(const FleetActions &actions);
    void logChanges(TimePoint now);
    [[nodiscard]] std::string directoryAgeText(TimePoint now) const;
    void logStoreState(const StoreAnswer &answer);
    void logResets(const std::vector<PendingReset> &resets, TimePoint now);
    void startProbes(TimePoint now);
    void reportTargetLosses(TimePoint now);
    void reportTargetFailures(TimePoint now);
    void detectPause(TimePoint now);
    boost::asio::awaitable<void> probe(std::uint64_t key, Endpoint address, ProbeQuestion question);
    void recordProbe(KnownTarget &target, const TargetProbe &result, TimePoint startedAt, TimePoint now);

    boost::asio::io_context &m_context;
    SteeringInstanceSettings m_settings;
    std::string m_targetNameHeader;
    SteeringEngine m_engine;
    FleetControl m_fleet;
    PeerChannel m_peers;
    LoadWatch m_loadWatch;
    EvacuationWatch m_evacuationWatch;
    PresenceWatch m_presenceWatch;
    OutlierLog m_outlierLog;
    ColdWatch m_coldWatch;
    StoreCounters m_storeCounters;
    ProbeCounters m_probeCounters;
    bool m_isStoreFailing = false;
    bool m_isLeaving = false;
    std::uint64_t m_loggedVersion = 0;
    std::uint32_t m_loggedEra = 0;
    bool m_wasReading = false;
    std::map<std::uint64_t, TimePoint> m_lossReportTimes;
    TimePoint m_lastTickAt;
    TimePoint m_resumedAt;
};

} // namespace jasminequay
