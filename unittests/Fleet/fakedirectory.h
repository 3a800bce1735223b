// A store of routes and targets without sockets, for tests of the fleet with injected time.
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
    bool isDown = false; ///< Nobody gets an answer.
    bool refusesAll = false; ///< Everybody is turned away.
    std::set<std::size_t> refused; ///< These instances are turned away.
    bool areWatchesSilent = false; ///< Waiting reads that began before `historyFloor` rises hear nothing.
    Duration answerTime = std::chrono::milliseconds(4);
};

/// The store: a revision, the routes, the targets and the history of changes.
class FakeDirectory
{
public:
    /// Publishes routes of the next version; returns it.
    std::uint64_t changeRoutes();

    /// Publishes a target, or what it now says.
    void put(TargetRecord record);

    /// Removes a target's entry.
    void remove(const std::string &name);

    /// Forgets the history, so that waiting reads must begin anew.
    void forgetHistory();

    /// Answers a complete read; a stale one as things were before the latest changes.
    [[nodiscard]] StoreAnswer readAll(bool mayBeStale = false) const;

    /// Makes stale reads answer as things are now, until called again.
    void keepForStaleReads();

    /// Makes some stale reads answer as things are now, and others as they were at earlier calls.
    void addForStaleReads();

    /// Answers a waiting read now; an answer without changes if there are none.
    [[nodiscard]] StoreAnswer changesAfter(std::uint64_t revision) const;

    [[nodiscard]] std::uint64_t revision() const
    {
        return m_revision;
    }
    [[nodiscard]] std::uint64_t routesVersion() const
    {
        return m_routes.version;
    }

    StoreFaults faults;
    std::uint64_t calls = 0;

private:
    struct Change {
        std::uint64_t revision;
        bool isRoutes;
        std::string target;
    };

    std::uint64_t m_revision = 0;
    std::uint64_t m_historyFloor = 0;
    RouteConfiguration m_routes;
    std::map<std::string, TargetRecord> m_targets;
    std::vector<Change> m_history;
    std::vector<StoreAnswer> m_stale; ///< Stale reads get these in turn.
    mutable std::size_t m_staleReads = 0;
};

} // namespace jasminequay::fleet
