// Decides which forwarded packets are sent once more to the same target before their callers would do so.
// Uses no clock, socket or thread.
#pragma once

#include "jasminequay/Steering/delayquantile.h"
#include "jasminequay/Steering/retransmissionbudget.h"
#include "jasminequay/Steering/steeringengine.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminequay
{

/// Counters of early retransmissions.
struct EarlyRetransmissionCounters {
    std::uint64_t covered = 0; ///< Packets that may be retransmitted early.
    std::uint64_t sent = 0; ///< Early retransmissions.
    std::uint64_t suppressedByBudget = 0;
    /// Those suppressed because of the state of the target or of its data centre, or of this instance: it was
    /// too late to send them.
    std::uint64_t suppressedByLoad = 0;
    std::uint64_t answered = 0; ///< Flows that made progress within 10 ms after an early retransmission.
};

/// A forwarded packet whose answer is awaited.
struct AwaitedPacket {
    SteeredFlow flow;
    bool isOpening = false; ///< Whether it is an opening packet; otherwise it is a request.
    bool isRepeatable = false; ///< Whether the requests of its route may be repeated.
    std::uint32_t acknowledged = 0;
    std::uint64_t targetKey = 0;
    std::string dataCentre; ///< The data centre of the target.
    Endpoint target;
};

/// A datagram to be sent once more.
struct RetransmittedDatagram {
    SteeredFlow flow;
    Endpoint target;
    std::vector<std::uint8_t> bytes; ///< As it was sent before.
};

/// Keeps the covered packets until they are answered, and returns those that have waited for longer than 99%
/// of recent answers took. The copies are limited to a share of the covered packets. A copy is the same
/// datagram to the same target, for which it is an ordinary retransmission.
class EarlyRetransmission
{
public:
    static constexpr std::size_t MaximumPendingPackets = 512;
    static constexpr std::size_t MaximumDatagramSize = 1400; ///< In bytes; larger ones are not covered.
    static constexpr Duration MinimumOpeningWait = std::chrono::milliseconds(5);
    /// Callers retransmit after 200 ms; a later copy would gain little.
    static constexpr Duration MaximumWait = std::chrono::milliseconds(120);

    /// Sets the maximum of early retransmissions as a share of the covered packets; 0 turns them off.
    void setShare(double share);

    [[nodiscard]] bool isEnabled() const
    {
        return m_budget.share() > 0;
    }

    /// Records that a packet of a caller has arrived. Must be called before await() for the same packet.
    void recordPacket(const PacketSummary &packet, TimePoint now);

    /// Records that a packet was forwarded as `datagram`. It is covered if its route may be repeated.
    void await(const AwaitedPacket &packet, std::span<const std::uint8_t> datagram, TimePoint now);

    /// Returns whether a target may get a copy of a packet of a flow.
    using Permission = std::function<bool(std::uint64_t targetKey, const SteeredFlow &flow)>;

    /// Returns the datagrams that must be sent once more now.
    std::vector<RetransmittedDatagram> due(TimePoint now, const Permission &isPermitted);

    /// Discards the kept datagrams.
    void discardPending();

    /// Returns the number of datagrams that are kept.
    [[nodiscard]] std::size_t pendingCount() const
    {
        return m_pendingCount;
    }

    [[nodiscard]] bool isBudgetExhausted() const
    {
        return m_budget.isExhausted();
    }

    [[nodiscard]] const EarlyRetransmissionCounters &counters() const
    {
        return m_counters;
    }

private:
    /// A packet without an answer. Its datagram is empty once it must not be sent again.
    struct Entry {
        AwaitedPacket packet;
        std::vector<std::uint8_t> datagram;
        TimePoint sentAt;
        TimePoint retransmittedAt;
        Duration wait{}; ///< How long after sentAt it is due.
    };

    /// The openings at the targets of one data centre.
    struct Openings {
        DelayQuantile times;
        std::deque<TimePoint> recent; ///< When the openings of the last second were sent.
    };

    using Entries = std::list<Entry>;
    /// The number of overdue openings by data centre.
    using OverdueCounts = std::map<std::string, std::size_t, std::less<>>;

    [[nodiscard]] Duration waitOf(const AwaitedPacket &packet);
    [[nodiscard]] OverdueCounts countOverdue(TimePoint now) const;
    [[nodiscard]] bool isLoaded(const Entry &entry, const OverdueCounts &overdue, TimePoint now) const;
    [[nodiscard]] bool isOverdue(const Entry &entry, TimePoint now) const;
    void recordAnswer(const Entry &entry, TimePoint now);
    void recordOpening(const std::string &dataCentre, TimePoint now);
    void keep(Entry &entry, std::span<const std::uint8_t> datagram);
    void discardDatagram(Entry &entry);
    void erase(Entries::iterator entry);
    void expire(TimePoint now);

    RetransmissionBudget m_budget;
    EarlyRetransmissionCounters m_counters;
    Entries m_entries; ///< In the order in which the packets were sent.
    std::unordered_map<SteeredFlow, Entries::iterator, SteeredFlowHash> m_byFlow;
    std::size_t m_pendingCount = 0;
    std::map<std::string, Openings, std::less<>> m_openings; ///< By data centre.
    std::map<std::uint64_t, DelayQuantile> m_answerTimes; ///< By the address of the route.
};

} // namespace jasminequay
