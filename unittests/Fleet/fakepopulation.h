// Simulated targets that write their entries into the store of a simulated fleet, and other programs that
// write there too.
#pragma once

#include "fakecluster.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace jasminequay::fleet
{

/// One process that is a target.
struct FakeTarget {
    TargetRecord record;
    bool isAlive = true;
    bool wasClockSetBack = false; ///< Whether its start has an earlier time than one before it under its id.
    TimePoint nextHeartbeatAt;
    TimePoint endedAt;
};

/// The targets of a cluster. Each writes its entry with every heartbeat; the store drops what nobody writes.
class FakePopulation
{
public:
    FakePopulation(FakeCluster &cluster, std::uint64_t seed);

    /// Advances time, with heartbeats, late writes and expiry. Returns the name of a target that lives but
    /// that an instance has taken for gone; empty if there is none.
    std::string run(Duration duration);

    /// Ends a random target without a word.
    void crash();

    /// Starts a random target that has ended again, under its id.
    void restart();

    /// Starts a target under a new id at the address of a random one that has ended.
    void reuseAddress();

    /// Lets a random target say that it drains, or take it back.
    void toggleDraining();

    /// Writes or removes an entry of another program with the identity and address of a random target.
    void toggleCopy();

    /// Writes an entry of another program under the name of a random target.
    void overwrite();

    /// Goes back to the copy of the store.
    void restoreStore();

    /// Sets whether the store loses some writes and does others late.
    void setLossy(bool isLossy)
    {
        m_isLossy = isLossy;
    }

    /// Sets whether entries expire while the store is down.
    void setExpiringWhileDown(bool isExpiring)
    {
        m_expiresWhileDown = isExpiring;
    }

    /// Returns the targets that live.
    [[nodiscard]] std::vector<const FakeTarget *> living() const;

private:
    /// A write that the store has taken and does later.
    struct LateWrite {
        TimePoint at;
        TargetRecord record;
    };

    [[nodiscard]] std::int64_t timeOfDay() const;
    FakeTarget *choose(bool isAlive);
    void heartbeat(FakeTarget &target);
    void write(const TargetRecord &record);
    void doLateWrites();
    void expireEntries();
    [[nodiscard]] std::string wronglyGone() const;

    FakeCluster &m_cluster;
    std::mt19937_64 m_random;
    std::vector<FakeTarget> m_targets;
    std::vector<LateWrite> m_lateWrites;
    std::map<std::string, TimePoint> m_renewedAt; ///< When the entry of a target was last written, by name.
    std::uint32_t m_nextId = 1000;
    bool m_isLossy = false;
    bool m_expiresWhileDown = false;
};

} // namespace jasminequay::fleet
