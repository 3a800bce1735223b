#include "jasminequay/Steering/earlyretransmission.h"

#include <algorithm>

namespace jasminequay
{

using std::chrono::milliseconds;

/// The maximum number of packets whose answers are awaited, including those that are not covered.
constexpr std::size_t MaximumAwaitedPackets = 1024;

/// How long an answer is awaited. Requests may take longer; their times are then not recorded.
constexpr Duration AwaitLifetime = std::chrono::seconds(1);

/// A copy later than this is not sent: the process was paused, and the caller's own copy is near.
constexpr Duration LatestCopy = milliseconds(150);

/// An answer within this time after an early retransmission is attributed to it.
constexpr Duration AttributionTime = milliseconds(10);

/// If more than this share of the openings of a data centre is overdue, the cause is load or an outage and
/// not a lost packet. Copies would add load when it is highest.
constexpr double MaximumOverdueShare = 0.02;

/// The openings of this period are the base of the share.
constexpr Duration RecentPeriod = std::chrono::seconds(1);
constexpr std::size_t MaximumRecentOpenings = 4096;

/// An opening is overdue for this long at most. Its caller has then sent it again twice.
constexpr Duration OverdueLifetime = milliseconds(600);

void EarlyRetransmission::setShare(double share)
{
    if (share > 0) {
        m_budget.setShare(share);
        return;
    }
    m_budget = {};
    m_byFlow.clear();
    m_entries.clear();
    m_pendingCount = 0;
    m_openings.clear();
    m_answerTimes.clear();
}

Duration EarlyRetransmission::waitOf(const AwaitedPacket &packet)
{
    if (packet.isOpening) {
        const Duration time = m_openings[packet.dataCentre].times.value().value_or(MaximumWait);
        return std::clamp<Duration>(time, MinimumOpeningWait, MaximumWait);
    }
    const Duration time = m_answerTimes[packet.flow.service.packed()].value().value_or(MaximumWait);
    return std::min<Duration>(time, MaximumWait);
}

void EarlyRetransmission::recordPacket(const PacketSummary &packet, TimePoint now)
{
    const auto found = m_byFlow.find(packet.flow);
    if (found == m_byFlow.end()) {
        return;
    }
    Entry &entry = *found->second;
    const bool isAcknowledging
        = static_cast<std::int32_t>(packet.acknowledged - entry.packet.acknowledged) > 0;
    const bool isAnswered
        = !packet.isReset && !packet.isOpening && (entry.packet.isOpening || isAcknowledging);
    if (isAnswered) {
        recordAnswer(entry, now);
    }
    if (isAnswered || packet.isReset) {
        erase(found->second);
        return;
    }
    // The caller's own copy, or more data of the same request.
    discardDatagram(entry);
}

void EarlyRetransmission::recordAnswer(const Entry &entry, TimePoint now)
{
    // Copied packets count from when they were first sent. Otherwise the slowest answers would not be
    // counted, and the quantile would fall with each copy.
    const Duration time = now - entry.sentAt;
    if (entry.packet.isOpening) {
        m_openings[entry.packet.dataCentre].times.record(time, now);
    } else {
        m_answerTimes[entry.packet.flow.service.packed()].record(time, now);
    }
    const bool isRetransmitted = entry.retransmittedAt != TimePoint{};
    if (isRetransmitted && now - entry.retransmittedAt <= AttributionTime) {
        ++m_counters.answered;
    }
}

void EarlyRetransmission::recordOpening(const std::string &dataCentre, TimePoint now)
{
    std::deque<TimePoint> &recent = m_openings[dataCentre].recent;
    recent.push_back(now);
    while (now - recent.front() > RecentPeriod || recent.size() > MaximumRecentOpenings) {
        recent.pop_front();
    }
}

void EarlyRetransmission::await(
    const AwaitedPacket &packet, std::span<const std::uint8_t> datagram, TimePoint now)
{
    if (!isEnabled() || m_byFlow.contains(packet.flow)) {
        return;
    }
    expire(now);
    if (packet.isOpening) {
        recordOpening(packet.dataCentre, now);
    }
    if (m_entries.size() == MaximumAwaitedPackets) {
        erase(m_entries.begin());
    }
    m_entries.push_back({packet, {}, now, {}, waitOf(packet)});
    m_byFlow[packet.flow] = std::prev(m_entries.end());
    if (packet.isRepeatable && !datagram.empty() && datagram.size() <= MaximumDatagramSize) {
        keep(m_entries.back(), datagram);
    }
}

void EarlyRetransmission::keep(Entry &entry, std::span<const std::uint8_t> datagram)
{
    ++m_counters.covered;
    m_budget.recordPacket();
    if (m_pendingCount == MaximumPendingPackets) {
        const auto oldest = std::find_if(m_entries.begin(), m_entries.end(),
            [](const Entry &candidate) { return !candidate.datagram.empty(); });
        discardDatagram(*oldest);
    }
    entry.datagram.assign(datagram.begin(), datagram.end());
    ++m_pendingCount;
}

bool EarlyRetransmission::isOverdue(const Entry &entry, TimePoint now) const
{
    const Duration age = now - entry.sentAt;
    return entry.packet.isOpening && age >= entry.wait && age <= OverdueLifetime;
}

EarlyRetransmission::OverdueCounts EarlyRetransmission::countOverdue(TimePoint now) const
{
    OverdueCounts counts;
    for (const Entry &entry : m_entries) {
        if (isOverdue(entry, now)) {
            ++counts[entry.packet.dataCentre];
        }
    }
    return counts;
}

/// Returns whether too many openings of the data centre are overdue, the flow's own one not counted: at an
/// instance with few openings a single lost packet would exceed the share.
bool EarlyRetransmission::isLoaded(const Entry &entry, const OverdueCounts &overdue, TimePoint now) const
{
    const auto counted = overdue.find(entry.packet.dataCentre);
    if (counted == overdue.end()) {
        return false;
    }
    const std::size_t others = counted->second - (isOverdue(entry, now) ? 1 : 0);
    const auto openings = m_openings.find(entry.packet.dataCentre);
    const auto recent = openings == m_openings.end()
        ? 0
        : std::count_if(openings->second.recent.begin(), openings->second.recent.end(),
            [now](TimePoint at) { return now - at <= RecentPeriod; });
    return static_cast<double>(others) > MaximumOverdueShare * static_cast<double>(recent);
}

std::vector<RetransmittedDatagram> EarlyRetransmission::due(TimePoint now, const Permission &isPermitted)
{
    expire(now);
    std::vector<RetransmittedDatagram> copies;
    std::optional<OverdueCounts> overdue; // counted only if something is due
    for (Entry &entry : m_entries) {
        const Duration age = now - entry.sentAt;
        if (entry.datagram.empty() || age < entry.wait) {
            continue;
        }
        overdue = overdue ? overdue : countOverdue(now);
        const bool isTooLate = age > LatestCopy;
        if (isTooLate || !isPermitted(entry.packet.targetKey, entry.packet.flow)
            || isLoaded(entry, *overdue, now)) {
            ++m_counters.suppressedByLoad;
        } else if (!m_budget.take()) {
            ++m_counters.suppressedByBudget;
        } else {
            ++m_counters.sent;
            entry.retransmittedAt = now;
            copies.push_back({entry.packet.flow, entry.packet.target, entry.datagram});
        }
        discardDatagram(entry);
    }
    return copies;
}

void EarlyRetransmission::discardPending()
{
    for (Entry &entry : m_entries) {
        discardDatagram(entry);
    }
}

void EarlyRetransmission::discardDatagram(Entry &entry)
{
    m_pendingCount -= entry.datagram.empty() ? 0 : 1;
    entry.datagram = {};
}

void EarlyRetransmission::erase(Entries::iterator entry)
{
    discardDatagram(*entry);
    m_byFlow.erase(entry->packet.flow);
    m_entries.erase(entry);
}

void EarlyRetransmission::expire(TimePoint now)
{
    while (!m_entries.empty() && now - m_entries.front().sentAt > AwaitLifetime) {
        erase(m_entries.begin());
    }
}

} // namespace jasminequay
