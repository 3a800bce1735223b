// The instances of one data centre that share the room at cold targets, ranked for each target.
#pragma once

#include "jasminequay/Support/timepoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jasminequay
{

/// An instance of the data centre as the fleet knows it now.
struct RosterEntry {
    std::string name;
    bool isLeaving = false; ///< Whether it has announced that it stops.
};

/// Remembers the instances of a data centre. An instance that vanishes without having announced that it
/// leaves may be behind a network partition and keeps its place, so that both sides rank the same instances.
/// Uses no clock: the caller passes the time in.
class InstanceRoster
{
public:
    /// How long a vanished instance keeps its place: as long as the fleet remembers a data centre that is cut
    /// off.
    static constexpr Duration VanishedLifetime = std::chrono::hours(1);

    /// Adds this instance.
    void addSelf(const std::string &name);

    /// Replaces what is known of the other instances. Those that are missing have left or vanished.
    void update(const std::vector<RosterEntry> &others, TimePoint now);

    /// Removes instances that vanished more than VanishedLifetime ago.
    void expire(TimePoint now);

    /// Returns the number of instances, this one included; zero before addSelf().
    [[nodiscard]] std::size_t size() const
    {
        return m_others.size() + (m_selfHash == 0 ? 0 : 1);
    }

    /// Returns how many instances precede this one for a target (rendezvous hashing).
    [[nodiscard]] std::size_t rankFor(std::uint64_t targetKey) const;

    /// Returns a number that increases whenever the set of instances changes.
    [[nodiscard]] std::uint64_t version() const
    {
        return m_version;
    }

private:
    struct Other {
        std::uint64_t hash = 0;
        bool isPresent = true;
        bool isLeaving = false;
        TimePoint vanishedAt;
    };

    std::uint64_t m_selfHash = 0;
    std::map<std::string, Other> m_others;
    std::uint64_t m_version = 1;
};

} // namespace jasminequay
