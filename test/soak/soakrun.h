// One run: real processes, stand-ins around them, the faults of a seed, and the verdict.
#pragma once

#include "callers.h"
#include "drillplan.h"
#include "faultplan.h"
#include "peermesh.h"
#include "publication.h"
#include "soakfabric.h"
#include "soakinstance.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jasminequay::soak
{

/// What a run is asked for.
struct RunOptions {
    std::string program;
    std::string folder; ///< For settings and logs.
    std::uint64_t seed = 1;
    std::size_t instances = 6;
    Duration duration = std::chrono::seconds(30);
    std::uint8_t network = 10; ///< The run uses addresses of 127.NETWORK.
    double flowsPerSecond = 60;
    bool hasDrills = false; ///< Whether data centres are evacuated and the store goes back to a copy.
};

/// Plays one seed.
class SoakRun
{
public:
    explicit SoakRun(const RunOptions &options);

    /// Prints the faults of a run without playing it.
    static void printPlan(const RunOptions &options);

    /// Plays the run and prints its faults, breaches and counts. Returns whether every promise was kept.
    bool play();

private:
    struct Ending {
        TimePoint at;
        std::function<void()> end;
    };

    [[nodiscard]] Ipv4Address address(unsigned group, std::size_t number) const;
    void makeInstances();
    void makeMesh();
    void makeCallers();
    void makeTargets();
    void startTarget(std::size_t place, const std::string &service, const std::string &name, Endpoint at);
    void tick(TimePoint now);
    void tickInstances(TimePoint now);
    void tickTargets(TimePoint now);
    void tickLoad(TimePoint now);
    void apply(const Fault &fault, TimePoint now);
    void tickDrills(TimePoint now);
    void apply(const Drill &drill, TimePoint now);
    void restoreStore(TimePoint now);
    bool applyToInstance(const Fault &fault, TimePoint now);
    bool applyToStore(const Fault &fault, TimePoint now);
    bool applyToPeers(const Fault &fault, TimePoint now);
    void applyToTarget(const Fault &fault, TimePoint now);
    void endTarget(RunningTarget &running, TimePoint now);
    void changeRoutes(const Fault &fault, TimePoint now);
    void probeRoute(Endpoint route, TimePoint now);
    void disturbStore(TimePoint until);
    void until(TimePoint at, std::function<void()> end);
    void schedule();
    bool report(Duration taken) const;

    RunOptions m_options;
    boost::asio::io_context m_context{1};
    boost::asio::steady_timer m_timer;
    Promises m_promises;
    platform::FakeStore m_store;
    Publication m_publication;
    std::vector<std::unique_ptr<TcpLink>> m_storeLinks;
    std::vector<std::unique_ptr<SoakInstance>> m_instances;
    std::unique_ptr<PeerMesh> m_mesh;
    std::unique_ptr<SoakFabric> m_fabric;
    std::unique_ptr<Callers> m_callers;
    std::vector<RunningTarget> m_targets;
    std::vector<Fault> m_faults;
    std::size_t m_nextFault = 0;
    std::vector<Drill> m_drills;
    std::size_t m_nextDrill = 0;
    std::vector<Ending> m_endings; ///< Of the faults that last.
    std::vector<Ending> m_routeProbes;
    std::mt19937_64 m_random;
    std::uint64_t m_targetNumber = 0;
    TimePoint m_startedAt;
    TimePoint m_tickedAt;
    TimePoint m_staleKeptAt;
    double m_flowsDue = 0;
    bool m_isCalm = false;
    bool m_hasBegun = false; ///< Whether all instances were ready and the load has started.
};

} // namespace jasminequay::soak
