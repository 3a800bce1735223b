#include "fakepopulation.h"

#include <algorithm>

namespace jasminequay::fleet
{

using std::chrono::milliseconds;

constexpr Duration HeartbeatInterval = milliseconds(1200);
constexpr Duration EntryLifetime = 3 * HeartbeatInterval;
constexpr Duration TickLength = milliseconds(50);

/// A write that the store does late is done after 1 s to 6 s.
constexpr int ShortestDelayMilliseconds = 1000;
constexpr int LongestDelayMilliseconds = 6000;

/// Of the writes of a lossy store, this part of a hundred is lost and twice as much is done late.
constexpr unsigned LostPercent = 12;

/// Times of day differ by this much between machines.
constexpr std::int64_t ClockSkewMilliseconds = 3000;

/// A clock is set back by this much.
constexpr std::int64_t ClockStepMilliseconds = 20000;

FakePopulation::FakePopulation(FakeCluster &cluster, std::uint64_t seed)
    : m_cluster(cluster)
    , m_random(seed)
{
    for (TargetRecord &record : cluster.store.readAll().update.targets) {
        FakeTarget target;
        m_renewedAt[record.name] = cluster.now;
        target.record = std::move(record);
        target.nextHeartbeatAt = cluster.now + milliseconds(m_random() % 1200);
        m_targets.push_back(std::move(target));
    }
}

std::int64_t FakePopulation::timeOfDay() const
{
    return std::chrono::duration_cast<milliseconds>(m_cluster.now.time_since_epoch()).count();
}

FakeTarget *FakePopulation::choose(bool isAlive)
{
    std::vector<FakeTarget *> candidates;
    for (FakeTarget &target : m_targets) {
        // An address is free, and an id may be used again, some time after the end.
        const bool isFree = m_cluster.now - target.endedAt > milliseconds(400);
        if (target.isAlive == isAlive && (isAlive || isFree)) {
            candidates.push_back(&target);
        }
    }
    return candidates.empty() ? nullptr : candidates[m_random() % candidates.size()];
}

void FakePopulation::crash()
{
    if (FakeTarget *const target = choose(true)) {
        target->isAlive = false;
        target->endedAt = m_cluster.now;
    }
}

void FakePopulation::restart()
{
    FakeTarget *const target = choose(false);
    if (target == nullptr) {
        return;
    }
    const std::int64_t previous = target->record.identity.startedAt;
    target->wasClockSetBack = m_random() % 6 == 0;
    target->record.identity.startedAt = target->wasClockSetBack
        ? std::max<std::int64_t>(previous - ClockStepMilliseconds, 1)
        : std::max(previous + 1, timeOfDay());
    target->wasClockSetBack = target->record.identity.startedAt <= previous;
    target->record.identity.startedAt += target->record.identity.startedAt == previous ? 1 : 0;
    target->record.isDraining = false;
    target->isAlive = true;
    target->nextHeartbeatAt = m_cluster.now;
}

void FakePopulation::reuseAddress()
{
    const FakeTarget *const former = choose(false);
    const bool isFree
        = former != nullptr && std::none_of(m_targets.begin(), m_targets.end(), [&](const FakeTarget &other) {
              return other.isAlive && other.record.address == former->record.address;
          });
    if (!isFree) {
        return;
    }
    FakeTarget target;
    target.record = former->record;
    target.record.identity.id = ++m_nextId;
    target.record.name = "i-" + std::to_string(m_nextId);
    target.record.service = m_random() % 2 == 0 ? "desk" : "guides";
    const auto skew
        = static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(2 * ClockSkewMilliseconds));
    target.record.identity.startedAt = timeOfDay() + skew - ClockSkewMilliseconds;
    target.record.isDraining = false;
    target.nextHeartbeatAt = m_cluster.now;
    // The former target does not come back: its address is taken.
    std::erase_if(m_targets, [&](const FakeTarget &other) {
        return !other.isAlive && other.record.address == target.record.address;
    });
    m_targets.push_back(std::move(target));
}

void FakePopulation::toggleDraining()
{
    if (FakeTarget *const target = choose(true)) {
        target->record.isDraining = !target->record.isDraining;
    }
}

void FakePopulation::toggleCopy()
{
    const FakeTarget *const target = choose(true);
    if (target == nullptr || m_cluster.store.faults.isDown) {
        return;
    }
    TargetRecord copy = target->record;
    copy.name = "copy-" + std::to_string(copy.identity.id);
    copy.service = "asset-inventory";
    const std::vector<TargetRecord> entries = m_cluster.store.readAll().update.targets;
    const bool isThere = std::any_of(
        entries.begin(), entries.end(), [&](const TargetRecord &entry) { return entry.name == copy.name; });
    if (isThere) {
        m_cluster.store.remove(copy.name);
    } else {
        m_cluster.store.put(copy);
    }
}

void FakePopulation::overwrite()
{
    const FakeTarget *const target = choose(true);
    if (target == nullptr || m_cluster.store.faults.isDown) {
        return;
    }
    TargetRecord foreign = target->record;
    foreign.service = "asset-inventory";
    foreign.identity.startedAt = m_random() % 2 == 0 ? 0 : foreign.identity.startedAt;
    m_cluster.store.put(foreign);
    m_renewedAt[foreign.name] = m_cluster.now;
}

void FakePopulation::restoreStore()
{
    m_cluster.store.restoreCopy();
    for (const TargetRecord &record : m_cluster.store.readAll().update.targets) {
        m_renewedAt[record.name] = m_cluster.now;
    }
}

std::vector<const FakeTarget *> FakePopulation::living() const
{
    std::vector<const FakeTarget *> found;
    for (const FakeTarget &target : m_targets) {
        if (target.isAlive) {
            found.push_back(&target);
        }
    }
    return found;
}

/// Writes an entry, or only renews it if it stands as it is.
void FakePopulation::write(const TargetRecord &record)
{
    m_renewedAt[record.name] = m_cluster.now;
    for (const TargetRecord &entry : m_cluster.store.readAll().update.targets) {
        const bool isSame = entry.name == record.name && entry.identity == record.identity
            && entry.service == record.service && entry.isDraining == record.isDraining;
        if (isSame) {
            return;
        }
    }
    m_cluster.store.put(record);
}

/// Writes the entry of a target. A write may be lost or late only while an entry of the same start stands: an
/// entry that is missing is back within two seconds if its target is alive.
void FakePopulation::heartbeat(FakeTarget &target)
{
    target.nextHeartbeatAt = m_cluster.now + HeartbeatInterval;
    if (m_cluster.store.faults.isDown) {
        return;
    }
    const std::vector<TargetRecord> entries = m_cluster.store.readAll().update.targets;
    const bool isStanding = std::any_of(entries.begin(), entries.end(), [&](const TargetRecord &entry) {
        return entry.name == target.record.name && entry.identity == target.record.identity
            && entry.service == target.record.service;
    });
    const unsigned lot = m_random() % 100;
    if (m_isLossy && isStanding && lot < 3 * LostPercent) {
        if (lot >= LostPercent) {
            const auto delay = milliseconds(ShortestDelayMilliseconds
                + static_cast<int>(m_random() % (LongestDelayMilliseconds - ShortestDelayMilliseconds)));
            m_lateWrites.push_back({m_cluster.now + delay, target.record});
        }
        // Two in a row are not lost.
        target.nextHeartbeatAt = m_cluster.now + HeartbeatInterval / 2;
        return;
    }
    write(target.record);
}

void FakePopulation::doLateWrites()
{
    if (m_cluster.store.faults.isDown) {
        return;
    }
    for (auto position = m_lateWrites.begin(); position != m_lateWrites.end();) {
        if (m_cluster.now < position->at) {
            ++position;
            continue;
        }
        const TargetRecord record = position->record;
        position = m_lateWrites.erase(position);
        write(record);
    }
}

void FakePopulation::expireEntries()
{
    if (m_cluster.store.faults.isDown && !m_expiresWhileDown) {
        return;
    }
    for (const TargetRecord &entry : m_cluster.store.readAll().update.targets) {
        const auto renewed = m_renewedAt.find(entry.name);
        if (renewed != m_renewedAt.end() && m_cluster.now - renewed->second > EntryLifetime) {
            m_cluster.store.remove(entry.name);
        }
    }
}

/// Returns the name of a target that lives and that a running instance takes for gone; empty if there is
/// none.
std::string FakePopulation::wronglyGone() const
{
    for (const FakeTarget &target : m_targets) {
        if (!target.isAlive || target.wasClockSetBack) {
            continue;
        }
        for (std::size_t number = 0; number < m_cluster.members.size(); ++number) {
            if (!m_cluster.isRunning(number)) {
                continue;
            }
            TargetDirectory &targets = m_cluster.members[number].engine->targets();
            const KnownTarget *const known = targets.find(target.record.identity.key());
            if (known != nullptr && known->presence == TargetPresence::Gone) {
                return target.record.name + " at instance " + std::to_string(number) + ": "
                    + std::string(targetEndName(known->end));
            }
        }
    }
    return {};
}

std::string FakePopulation::run(Duration duration)
{
    for (const TimePoint end = m_cluster.now + duration; m_cluster.now < end;) {
        m_cluster.run(TickLength);
        doLateWrites();
        for (FakeTarget &target : m_targets) {
            if (target.isAlive && m_cluster.now >= target.nextHeartbeatAt) {
                heartbeat(target);
            }
        }
        expireEntries();
        if (std::string wrong = wronglyGone(); !wrong.empty()) {
            return wrong;
        }
    }
    return {};
}

} // namespace jasminequay::fleet
