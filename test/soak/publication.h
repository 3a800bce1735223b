// What the operators and targets of a run publish in the stand-in of the store.
#pragma once

#include "promises.h"
#include "soaktarget.h"

#include "fakestore.h"

#include <random>
#include <set>
#include <string>
#include <vector>

namespace jasminequay::soak
{

/// A target with what is known of it.
struct RunningTarget {
    std::unique_ptr<SoakTarget> target; ///< Null when it has ended.
    TargetState state;
    std::string dataCentre;
    std::uint64_t startedAt = 0; ///< In milliseconds; tells starts under one name apart.
    TimePoint entryAt; ///< When its missing entry is published again, or its lapsed one ends.
    TimePoint endsAt; ///< When a leaving target ends, or a silent one is heard again.
};

/// Keeps the published settings and entries.
class Publication
{
public:
    Publication(platform::FakeStore &store, Promises &promises);

    /// Publishes a further route to a service. Returns its address.
    Endpoint addRoute(const std::string &service, bool mayRepeat, TimePoint now);

    /// Drops a route.
    void dropRoute(Endpoint route, TimePoint now);

    /// Writes the entry of a target.
    void putTarget(const RunningTarget &running);

    /// Removes an entry.
    void removeTarget(const std::string &name);

    /// Writes an entry that names no target.
    void putGarbage(std::uint64_t choice);

    /// Writes an entry of another program.
    void putUnrelated();

    /// Writes a well-formed entry of a service that no route names, with the address of a target.
    void putForeignEntry(Endpoint address, std::uint64_t choice);

    /// Writes the entry that evacuates a data centre.
    void evacuate(const std::string &dataCentre);

    /// Removes the entry that evacuates a data centre.
    void endEvacuation(const std::string &dataCentre);

    /// Writes everything again after the store has gone back to a copy, and removes what should be gone.
    void writeAgain(const std::vector<RunningTarget> &targets);

    /// Returns the published routes that everybody must know by now.
    [[nodiscard]] std::vector<Endpoint> settledRoutes(TimePoint now) const;

private:
    void publish();

    platform::FakeStore &m_store;
    Promises &m_promises;
    std::set<std::string> m_evacuated;
    std::uint64_t m_version = 10;
    std::uint16_t m_routes = 0;
};

} // namespace jasminequay::soak
