// A store of routes and targets without sockets, for fleet tests with injected time.
#pragma once

#include "jasminequay/Fleet/fleetcontrol.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace jasminequay::fleet
{

/// How the store fails.
struct StoreFaults {
    bool isDown = false; ///< No call is answered.
    bool refusesAll = false; ///< All calls are refused.
    std::set<std::size_t> refused; ///< Calls of these instances are refused.
    bool areWatchesSilent = false; ///< Waiting reads that begin while this is set are never answered.
    Duration answerTime = std::chrono::milliseconds(4);
    /// The most versions of the routes that fit into an answer; more make it larger than a reader takes.
    std::size_t largestAnswer = 1000;
};

/// The store: a revision, the routes, the targets and the history of changes.
class FakeDirectory
{
public:
    /// Publishes routes of the next version, one to each service; returns it.
    std::uint64_t changeRoutes(const std::vector<std::string> &services = {"desk"});

    /// Adds or updates a target.
    void put(TargetRecord record);

    /// Removes a target's entry.
    void remove(const std::string &name);

    /// Writes the entry that evacuates a data centre.
    void evacuate(const std::string &dataCentre);

    /// Removes the entry that evacuates a data centre.
    void endEvacuation(const std::string &dataCentre);

    /// Makes a copy, to which restoreCopy() goes back.
    void makeCopy();

    /// Goes back to the copy. A new era begins, in which revisions are issued again.
    void restoreCopy();

    /// Discards the history of changes, so that readers have to read everything again.
    void forgetHistory();

    /// Answers a complete read. A stale read gets the answers set by setStaleAnswer() and addStaleAnswer(),
    /// if any.
    [[nodiscard]] StoreAnswer readAll(bool mayBeStale = false) const;

    /// Makes all stale reads return the present state, until called again.
    void setStaleAnswer();

    /// Adds the present state to the answers that stale reads return in turn.
    void addStaleAnswer();

    /// Answers a waiting read with the changes after a revision, if any.
    [[nodiscard]] StoreAnswer changesAfter(StoreRevision after) const;

    [[nodiscard]] StoreRevision revision() const
    {
        return storeRevision(m_era, m_data.revision);
    }
    [[nodiscard]] std::uint64_t routesVersion() const
    {
        return m_data.routes.version;
    }

    StoreFaults faults;
    std::uint64_t calls = 0;

private:
    struct Change {
        std::uint64_t revision;
        bool isRoutes;
        std::string target;
        std::string evacuated = {}; ///< A data centre whose evacuation has begun or ended.
    };

    /// What a copy holds. Revisions are numbers within the era.
    struct Data {
        std::uint64_t revision = 0;
        std::uint64_t historyFloor = 0;
        RouteConfiguration routes;
        std::map<std::string, TargetRecord> targets;
        std::map<std::string, EvacuationRecord> evacuations; ///< Those in force.
        std::vector<Change> history;
    };

    void addEra(StoreAnswer &answer) const;

    Data m_data;
    Data m_copy;
    std::uint32_t m_era = 0;
    std::vector<StoreAnswer> m_staleAnswers; ///< Returned by stale reads in turn.
    mutable std::size_t m_staleReads = 0;
};

} // namespace jasminequay::fleet
