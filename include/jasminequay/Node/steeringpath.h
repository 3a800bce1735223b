// The packet path: receives packets of callers, lets the engine decide and forwards them to targets.
#pragma once

#include "jasminequay/Fabric/datagrambatch.h"
#include "jasminequay/Fabric/datagramsender.h"
#include "jasminequay/Steering/retransmissionrules.h"
#include "jasminequay/Support/bootclock.h"
#include "jasminequay/Support/logevent.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <bit>
#include <functional>
#include <optional>
#include <vector>

namespace jasminequay
{

/// The packet format of an adapter: its headers, the position of tokens, and the headroom for what is written
/// before a packet that is sent to a target.
template <typename Adapter>
concept SteeringAdapter = SteeredPacket<typename Adapter::Packet> && requires(std::span<std::uint8_t> bytes,
    SteeredFlow flow, std::uint32_t sequence, SteeringToken token, std::uint64_t target)
{
    {
        Adapter::Packet::parse(bytes)
        } -> std::same_as<std::optional<typename Adapter::Packet>>;
    {Adapter::writeForward(bytes, target, token)};
    {Adapter::Packet::makeReset(flow, sequence)};
    {
        Adapter::Headroom
        } -> std::convertible_to<std::size_t>;
    {
        Adapter::TargetNameHeader
        } -> std::convertible_to<std::string_view>;
};

/// Counters of the packet path.
struct PathCounters {
    std::uint64_t packets = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t resets = 0;
    std::uint64_t malformed = 0;
    std::uint64_t unsent = 0; ///< Packets that the kernel did not accept.
    /// Decisions by latency: bucket n counts those below 2^n microseconds that no lower bucket counts, and
    /// the last bucket all longer ones too.
    std::array<std::uint64_t, 12> latencyBuckets{};
    std::uint64_t latencyNanoseconds = 0; ///< The total time of all decisions.
    EarlyRetransmissionCounters earlyRetransmissions;
};

/// Callbacks that the owner of a path provides.
struct PathHooks {
    std::function<bool()> maySteer; ///< Whether packets may be read now; until then they stay in the socket.
    std::function<TimePoint()> resumedAt; ///< When the process last resumed from a pause.
    /// Called with each decision.
    std::function<void(const PacketSummary &, const SteeringDecision &, TimePoint)> onDecision;
};

/// Reads packets from a socket, passes them to the engine and sends what it decides.
template <SteeringAdapter Adapter> class SteeringPath
{
public:
    SteeringPath(boost::asio::io_context &context, SteeringEngine &engine, PathHooks hooks)
        : m_engine(engine)
        , m_hooks(std::move(hooks))
        , m_readable(context)
        , m_timer(context)
        , m_retransmissionTimer(context)
        , m_batch(Adapter::Headroom)
    {
    }

    ~SteeringPath()
    {
        m_readable.release();
    }
    SteeringPath(const SteeringPath &) = delete;
    SteeringPath &operator=(const SteeringPath &) = delete;

    /// Opens the socket and starts to read.
    Result<void> open(boost::asio::io_context &context, Endpoint address)
    {
        BOOST_LEAF_ASSIGN(m_socket, UdpSocket::bindShared(address));
        m_port = address.port;
        m_readable.assign(m_socket.descriptor());
        boost::asio::co_spawn(context, run(), boost::asio::detached);
        return {};
    }

    /// Sends resets that are not answers to a packet.
    void sendResets(const std::vector<PendingReset> &resets)
    {
        for (const PendingReset &reset : resets) {
            queueReset(reset.flow, reset.sequence);
        }
        flush();
    }

    /// Checks maySteer() again immediately.
    void wake()
    {
        m_timer.cancel();
    }

    /// Sets the maximum of early retransmissions as a share of the packets that are covered; 0 turns them
    /// off.
    void setRetransmissionShare(double share)
    {
        m_retransmission.setShare(share);
        logRetransmissionBudget();
    }

    [[nodiscard]] PathCounters counters() const
    {
        PathCounters counters = m_counters;
        counters.earlyRetransmissions = m_retransmission.counters();
        return counters;
    }

    /// Returns when the last packet was received.
    [[nodiscard]] TimePoint lastPacketAt() const
    {
        return m_lastPacketAt;
    }

private:
    using Reset = decltype(Adapter::Packet::makeReset(SteeredFlow{}, 0));

    /// The most batches read before other work on the thread gets its turn.
    static constexpr unsigned MaximumBatchesPerTurn = 4;
    /// How often maySteer() is checked while packets are held back.
    static constexpr auto HoldPollInterval = std::chrono::milliseconds(10);
    /// How often pending packets are checked for early retransmission.
    static constexpr auto RetransmissionPollInterval = std::chrono::milliseconds(5);

    boost::asio::awaitable<void> run()
    {
        boost::system::error_code ignored; // a failed wait is repeated
        while (true) {
            if (!m_hooks.maySteer()) {
                m_timer.expires_after(HoldPollInterval);
                co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
                continue;
            }
            co_await m_readable.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
            readBatches();
        }
    }

    void readBatches()
    {
        for (unsigned round = 0; round < MaximumBatchesPerTurn && m_hooks.maySteer(); ++round) {
            readBacklog();
            if (readBatch() < BatchSize) {
                break;
            }
        }
    }

    /// Reads the packets that were queued while the process was paused.
    void readBacklog()
    {
        if (const TimePoint resumedAt = m_hooks.resumedAt(); resumedAt != m_backlogReadForResumeAt) {
            m_backlogReadForResumeAt = resumedAt;
            m_engine.setBacklogged(true);
            while (readBatch() == BatchSize) { }
            m_engine.setBacklogged(false);
        }
    }

    std::size_t readBatch()
    {
        const std::size_t count = m_batch.receive(m_socket);
        const TimePoint startedAt = bootTime();
        for (std::size_t index = 0; index < count; ++index) {
            handlePacket(index, startedAt);
        }
        flush();
        if (count > 0) {
            m_lastPacketAt = startedAt;
            recordLatency(count, bootTime() - startedAt);
        }
        return count;
    }

    void handlePacket(std::size_t index, TimePoint now)
    {
        ++m_counters.packets;
        const std::optional<typename Adapter::Packet> packet
            = Adapter::Packet::parse(m_batch.datagram(index));
        if (!packet) {
            ++m_counters.malformed;
            return;
        }
        const PacketSummary summary = summarize(*packet);
        const SteeringDecision decision = m_engine.decideSummary(summary, now);
        if (m_retransmission.isEnabled()) {
            m_retransmission.recordPacket(summary, now);
        }
        switch (decision.action) {
        case SteeringAction::Forward: {
            const std::span<std::uint8_t> datagram = m_batch.datagramWithHeadroom(index);
            Adapter::writeForward(datagram, decision.targetId, decision.token);
            queue(datagram, decision.target);
            ++m_counters.forwarded;
            if (m_retransmission.isEnabled()) {
                awaitAnswer(summary, decision, datagram, now);
            }
            break;
        }
        case SteeringAction::Reset:
            queueReset(summary.flow, decision.resetSequence);
            break;
        case SteeringAction::Drop:
            break;
        }
        m_hooks.onDecision(summary, decision, now);
    }

    void awaitAnswer(const PacketSummary &summary, const SteeringDecision &decision,
        std::span<const std::uint8_t> datagram, TimePoint now)
    {
        if (const auto awaited = awaitedPacket(m_engine, summary, decision, now)) {
            m_retransmission.await(*awaited, datagram, now);
            logRetransmissionBudget();
            scheduleRetransmission();
        }
    }

    /// Checks pending packets after an interval, and again as long as there are any.
    void scheduleRetransmission()
    {
        if (m_isRetransmissionScheduled || m_retransmission.pendingCount() == 0) {
            return;
        }
        m_isRetransmissionScheduled = true;
        m_retransmissionTimer.expires_after(RetransmissionPollInterval);
        m_retransmissionTimer.async_wait([this](const boost::system::error_code &error) {
            if (error) {
                return;
            }
            m_isRetransmissionScheduled = false;
            retransmit();
            scheduleRetransmission();
        });
    }

    void retransmit()
    {
        if (!m_hooks.maySteer()) {
            m_retransmission.discardPending();
            return;
        }
        // What has arrived is read first, so that a busy or paused instance does not take unread packets for
        // missing ones.
        readBatches();
        const TimePoint now = bootTime();
        const auto isPermitted = [this, now](std::uint64_t targetKey, const SteeredFlow &flow) {
            return mayRetransmit(m_engine, targetKey, flow, now);
        };
        const std::vector<RetransmittedDatagram> copies = m_retransmission.due(now, isPermitted);
        for (const RetransmittedDatagram &copy : copies) {
            queue(copy.bytes, copy.target);
            m_engine.recordEarlyRetransmission(copy.flow, now);
        }
        flush();
        logRetransmissionBudget();
    }

    void logRetransmissionBudget()
    {
        const bool isExhausted = m_retransmission.isBudgetExhausted();
        if (isExhausted == m_isBudgetLoggedExhausted) {
            return;
        }
        m_isBudgetLoggedExhausted = isExhausted;
        const EarlyRetransmissionCounters &counters = m_retransmission.counters();
        LogEvent(Severity::Info,
            isExhausted ? "retransmission-budget-exhausted" : "retransmission-budget-regained")
            .with("covered", counters.covered)
            .with("sent", counters.sent)
            .with("suppressed", counters.suppressedByBudget);
    }

    void queueReset(const SteeredFlow &flow, std::uint32_t sequence)
    {
        if (m_resetCount == m_resets.size()) {
            flush();
        }
        Reset &reset = m_resets[m_resetCount++];
        reset = Adapter::Packet::makeReset(flow, sequence);
        queue(reset, Endpoint{flow.caller.address, m_port});
        ++m_counters.resets;
    }

    void queue(std::span<const std::uint8_t> bytes, Endpoint to)
    {
        if (m_sender.isFull()) {
            m_counters.unsent += m_sender.flush(m_socket);
        }
        m_sender.queue(bytes, &to);
    }

    void flush()
    {
        m_counters.unsent += m_sender.flush(m_socket);
        m_resetCount = 0;
    }

    void recordLatency(std::size_t count, Duration elapsed)
    {
        const auto perPacket = static_cast<std::uint64_t>(elapsed.count()) / count;
        const std::size_t bucket = std::bit_width(perPacket / 1000);
        m_counters.latencyBuckets[std::min(bucket, m_counters.latencyBuckets.size() - 1)] += count;
        m_counters.latencyNanoseconds += static_cast<std::uint64_t>(elapsed.count());
    }

    SteeringEngine &m_engine;
    PathHooks m_hooks;
    UdpSocket m_socket;
    boost::asio::posix::stream_descriptor m_readable;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_retransmissionTimer;
    EarlyRetransmission m_retransmission;
    bool m_isRetransmissionScheduled = false;
    bool m_isBudgetLoggedExhausted = false;
    DatagramBatch m_batch;
    DatagramSender m_sender;
    std::array<Reset, BatchSize> m_resets{};
    std::size_t m_resetCount = 0;
    std::uint16_t m_port = 0;
    PathCounters m_counters;
    TimePoint m_lastPacketAt;
    TimePoint m_backlogReadForResumeAt; ///< The end of the last pause whose backlog was read.
};

} // namespace jasminequay
