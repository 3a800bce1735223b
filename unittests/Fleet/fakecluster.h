// A simulated fleet: instances with the real decision libraries, one store, a network whose links can fail,
// and injected time.
#pragma once

#include "fakedirectory.h"

#include "jasminequay/Fleet/fleetcontrol.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace jasminequay::fleet
{

/// The size and settings of a cluster.
struct ClusterShape {
    std::size_t instances = 6;
    std::size_t dataCentres = 3;
    std::size_t targets = 18;
    Duration settingsBound = std::chrono::seconds(3);
    std::uint64_t seed = 1;
};

/// One instance.
struct FakeMember {
    std::unique_ptr<SteeringEngine> engine;
    std::unique_ptr<FleetControl> control; ///< Null while the instance is down.
    bool isFrozen = false;
    std::uint64_t incarnation = 0;
    std::uint64_t newestVersion = 0; ///< The newest routes version since the instance started.
    std::uint32_t newestEra = 0; ///< The era of `newestVersion`.
    TimePoint versionSince; ///< When `newestVersion` was first seen.
    TimePoint loadedAt;
    TimePoint sweptAt;

    struct Read {
        StoreReadRequest request;
        TimePoint startedAt;
        bool isSilent = false;
    };
    std::optional<Read> read;

    struct Fetch {
        std::size_t from = 0;
        FetchRequest request;
        TimePoint doneAt;
        TimePoint failsAt;
    };
    std::optional<Fetch> fetch;
};

/// Advances all instances in simulated time.
class FakeCluster
{
public:
    explicit FakeCluster(const ClusterShape &shape);

    /// Advances time.
    void run(Duration duration);

    /// Advances time until a condition holds; returns how long that took, or nothing after `most`.
    std::optional<Duration> runUntil(const std::function<bool()> &condition, Duration most);

    /// Starts or restarts an instance.
    void start(std::size_t number);

    /// Stops an instance at once.
    void kill(std::size_t number);

    /// Cuts or restores the path from one instance to another, in this direction only.
    void cut(std::size_t from, std::size_t to, bool isCut = true);

    /// Cuts or restores the paths between a data centre and the others, in both directions.
    void cutDataCentre(std::size_t dataCentre, bool isCut = true);

    /// Cuts or restores the path from an instance to the store.
    void cutStore(std::size_t number, bool isCut = true);

    /// Returns the instances that read the store now.
    [[nodiscard]] std::vector<std::size_t> readers() const;

    /// Tells whether all running instances have the newest routes.
    [[nodiscard]] bool isInForceEverywhere() const;

    /// Tells whether all running instances know a target as draining.
    [[nodiscard]] bool isKnownDraining(const TargetRecord &record) const;

    /// Tells whether all running instances take a data centre for evacuated, or none of them does.
    [[nodiscard]] bool isEvacuatedEverywhere(const std::string &dataCentre, bool isEvacuated = true) const;

    /// Makes an instance behave as one of a version that knows no evacuations. Before its start.
    void makeOlder(std::size_t number)
    {
        m_olderMembers.insert(number);
    }

    [[nodiscard]] std::size_t dataCentreOf(std::size_t number) const
    {
        return number % m_shape.dataCentres;
    }
    [[nodiscard]] bool isRunning(std::size_t number) const
    {
        return members[number].control && !members[number].isFrozen;
    }

    /// Makes an instance read a store that has not been restored yet, or the present one again.
    void readEarlierStore(std::size_t number, bool isEarlier = true);

    FakeDirectory store;
    std::optional<FakeDirectory> earlierStore; ///< For readEarlierStore().
    std::vector<FakeMember> members;
    TimePoint now = TimePoint(std::chrono::hours(1));
    std::uint64_t messages = 0;
    std::map<std::size_t, std::uint64_t> fetchesServed; ///< By the instance that served the fetch.
    std::uint64_t fetchedTargets = 0; ///< Entries in responses to fetches.
    std::uint64_t refetchedTargets
        = 0; ///< Of these, entries sent to instances that had loaded the directory.
    std::uint64_t versionRegressions = 0; ///< Decreases of the routes version within an era.

private:
    struct Message {
        TimePoint at;
        std::size_t to;
        FleetMessage message;
    };

    [[nodiscard]] static Endpoint addressOf(std::size_t number);
    [[nodiscard]] static std::size_t numberOf(Endpoint address);
    [[nodiscard]] bool isStoreCut(std::size_t number) const;
    void step();
    void stepMember(std::size_t number);
    void stepRead(std::size_t number);
    void stepFetch(std::size_t number);
    void answer(std::size_t number, const StoreAnswer &answer);
    void perform(std::size_t number, const FleetActions &actions);
    void deliver();
    void checkVersion(std::size_t number);

    ClusterShape m_shape;
    std::deque<Message> m_messages;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::set<std::size_t> m_storeCuts;
    std::set<std::size_t> m_olderMembers;
    std::set<std::size_t> m_readersOfEarlierStore;
};

/// The settings bound of a cluster with the default settings.
constexpr Duration Bound = std::chrono::seconds(3);

/// Publishes new routes and returns how long they take to be in force at all running instances; nothing if
/// longer than `most`.
std::optional<Duration> timeToPropagate(FakeCluster &cluster, Duration most = Bound);

} // namespace jasminequay::fleet
