// Many instances with their real decision libraries, one store, a network with cuts, and injected time.
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
    std::uint64_t newestVersion = 0; ///< In its present life.
    TimePoint versionSince; ///< When the version in force was first seen.
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

/// Steps all instances through time.
class FakeCluster
{
public:
    explicit FakeCluster(const ClusterShape &shape);

    /// Lets time pass.
    void run(Duration duration);

    /// Lets time pass until a condition holds; returns how long that took, or nothing after `most`.
    std::optional<Duration> runUntil(const std::function<bool()> &condition, Duration most);

    /// Starts an instance anew, or one that was down.
    void start(std::size_t number);

    /// Ends an instance.
    void kill(std::size_t number);

    /// Cuts or heals the path from one instance to another.
    void cut(std::size_t from, std::size_t to, bool isCut = true);

    /// Cuts or heals a data centre from the others, in both directions.
    void cutDataCentre(std::size_t dataCentre, bool isCut = true);

    /// Cuts or heals an instance's path to the store.
    void cutStore(std::size_t number, bool isCut = true);

    /// Returns the instances that read the store now.
    [[nodiscard]] std::vector<std::size_t> readers() const;

    /// Tells whether all running instances have the newest routes.
    [[nodiscard]] bool isInForceEverywhere() const;

    /// Tells whether all running instances know a target as draining.
    [[nodiscard]] bool isKnownLeaving(const TargetRecord &record) const;

    [[nodiscard]] std::size_t dataCentreOf(std::size_t number) const
    {
        return number % m_shape.dataCentres;
    }
    [[nodiscard]] bool isRunning(std::size_t number) const
    {
        return members[number].control && !members[number].isFrozen;
    }

    FakeDirectory store;
    std::vector<FakeMember> members;
    TimePoint now = TimePoint(std::chrono::hours(1));
    std::uint64_t messages = 0;
    std::map<std::size_t, std::uint64_t> fetchesServed; ///< By the instance that handed over.
    std::uint64_t fetchedTargets = 0; ///< Entries that peers handed over on request.
    std::uint64_t fetchedAgain = 0; ///< Of these, those that instances got that had read the store before.
    std::uint64_t regressions = 0; ///< Versions that went back within the life of an instance.

private:
    struct Message {
        TimePoint at;
        std::size_t to;
        FleetMessage news;
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
};

/// How soon a change must be in force in a cluster of the usual settings.
constexpr Duration Bound = std::chrono::seconds(3);

/// Publishes new routes and returns how long they take to be in force at all running instances; nothing after
/// `most`.
std::optional<Duration> timeToForce(FakeCluster &cluster, Duration most = Bound);

} // namespace jasminequay::fleet
