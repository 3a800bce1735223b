#include "jasminequay/Steering/coldtargetlimit.h"

#include <algorithm>
#include <cmath>

namespace jasminequay
{

/// Two flows that are sent a second apart may arrive closer together, as their delays differ.
constexpr Duration DelayMargin = std::chrono::milliseconds(50);

/// A target that was not considered for this long is forgotten.
constexpr Duration ShareLifetime = std::chrono::seconds(30);

/// The longest interval between two flows to a target, which keeps arithmetic with tiny rates in range.
constexpr double MaximumInterval = 3600;

/// The largest room that is computed with, in flows per second; more is no limit in practice.
constexpr double MaximumRoom = 1e6;

ColdTargetLimit::ColdTargetLimit(std::string dataCentre)
    : m_dataCentre(std::move(dataCentre))
{
}

void ColdTargetLimit::start(const std::string &instance, TimePoint now)
{
    m_roster.addSelf(instance);
    m_startedAt = now;
}

void ColdTargetLimit::setBound(ColdTargetBound bound)
{
    m_bound = bound;
    ++m_settingsVersion;
}

void ColdTargetLimit::setSlowStarts(std::map<std::string, SlowStart> slowStarts)
{
    m_slowStarts = std::move(slowStarts);
    ++m_settingsVersion;
}

void ColdTargetLimit::setInstances(const std::vector<RosterEntry> &others, TimePoint now)
{
    m_roster.update(others, now);
}

void ColdTargetLimit::expire(TimePoint now)
{
    m_roster.expire(now);
    std::erase_if(m_shares, [now](const auto &item) {
        return now - item.second.usedAt > std::max(ShareLifetime, item.second.interval);
    });
}

const SlowStart *ColdTargetLimit::limitOf(const std::string &service) const
{
    const auto found = m_slowStarts.find(service);
    return found == m_slowStarts.end() || found->second.flowsPerSecond <= 0 ? nullptr : &found->second;
}

bool ColdTargetLimit::isLimited(const std::string &service) const
{
    return limitOf(service) != nullptr;
}

Duration ColdTargetLimit::warmUpOf(const std::string &service) const
{
    const SlowStart *const slowStart = limitOf(service);
    return slowStart == nullptr ? Duration::zero() : slowStart->duration;
}

bool ColdTargetLimit::isLimitedNow(const KnownTarget &target, TimePoint now) const
{
    return now < target.coldUntil && isLimited(target.record.service);
}

/// Returns the flows per second that all instances together may send to a cold target. Where these are few,
/// the whole half of the bound would leave too little for chance: with a third of the instances knowing half
/// of the others, up to 0.5% of the targets would get more than the bound.
double ColdTargetLimit::roomAt(const SlowStart &slowStart) const
{
    const double bound = slowStart.flowsPerSecond * m_bound.factor + m_bound.slack;
    return std::min(std::max(slowStart.flowsPerSecond, bound / 2 - 1), MaximumRoom);
}

/// Divides the room at a target by whole flows. If it is less than one flow per second, the first instance of
/// the ranking sends one flow in a longer interval.
void ColdTargetLimit::computeShare(Share &share, std::uint64_t targetKey, double room) const
{
    const std::size_t rank = m_roster.rankFor(targetKey);
    if (room < 1) {
        const std::chrono::duration<double> interval(std::min(1 / room, MaximumInterval));
        share.flows = rank == 0 ? 1 : 0;
        share.interval = std::chrono::duration_cast<Duration>(interval) + DelayMargin;
        return;
    }
    const auto flows = static_cast<std::size_t>(std::floor(room));
    const std::size_t remainder = flows % m_roster.size();
    share.flows = flows / m_roster.size() + (rank < remainder ? 1 : 0);
    share.interval = std::chrono::seconds(1) + DelayMargin;
}

ColdTargetLimit::Share &ColdTargetLimit::shareOf(const KnownTarget &target, TimePoint now)
{
    Share &share = m_shares[target.key];
    share.usedAt = now;
    if (share.version != version()) {
        share.version = version();
        computeShare(share, target.key, roomAt(*limitOf(target.record.service)));
    }
    while (!share.sentAt.empty() && now - share.sentAt.front() >= share.interval) {
        share.sentAt.pop_front();
    }
    return share;
}

bool ColdTargetLimit::hasRoom(const KnownTarget &target, TimePoint now)
{
    if (!isLimitedNow(target, now)) {
        return true;
    }
    const bool isJoining = m_roster.size() == 0 || now - m_startedAt < JoinTime;
    if (isJoining || target.record.dataCentre != m_dataCentre) {
        return false;
    }
    const Share &share = shareOf(target, now);
    return share.sentAt.size() < share.flows;
}

std::vector<std::uint64_t> ColdTargetLimit::withoutRoom(
    const std::string &service, const std::vector<KnownTarget *> &targets, TimePoint now)
{
    std::vector<std::uint64_t> keys;
    if (!isLimited(service)) {
        return keys;
    }
    for (const KnownTarget *const target : targets) {
        if (!target->record.isDraining && !hasRoom(*target, now)) {
            keys.push_back(target->key);
        }
    }
    return keys;
}

void ColdTargetLimit::recordFlow(const KnownTarget &target, TimePoint now)
{
    if (isLimitedNow(target, now)) {
        shareOf(target, now).sentAt.push_back(now);
    }
}

void ColdTargetLimit::recordPassedOver(const std::string &service, TimePoint now)
{
    ColdTargetCounters &counters = m_counters[service];
    ++counters.passedOver;
    counters.passedOverAt = now;
}

void ColdTargetLimit::recordRefused(const std::string &service)
{
    ++m_counters[service].refused;
}

} // namespace jasminequay
