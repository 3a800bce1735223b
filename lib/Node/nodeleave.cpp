// The graceful leave of an instance and the end of its process.
#include "nodecontrol.h"

#include "nodeclock.h"

#include "jasminequay/Support/logevent.h"
#include "jasminequay/Support/wallclock.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace jasminequay
{

namespace asio = boost::asio;

/// A leaving instance exits once it has received no packet from the fabric and had no handover pending for
/// this long: the fabric no longer routes to it.
constexpr Duration IdleTimeBeforeExit = std::chrono::seconds(2);

void NodeControl::waitForSignal()
{
    m_signals.async_wait([this](boost::system::error_code error, int) {
        if (error) {
            return;
        }
        if (m_isLeaving) {
            finish(NodeExitReason::Interrupted);
            return;
        }
        beginLeave();
        waitForSignal();
    });
}

void NodeControl::beginLeave()
{
    const TimePoint now = currentTime();
    m_isLeaving = true;
    m_leaveStarted = now;
    m_idleSince = now;
    m_control.beginLeave();
    publish(now);
    LogEvent(Severity::Info, "instance-leaving").with("flows", traffic().flows);
}

Duration NodeControl::drainDeadline() const
{
    Duration longest = std::chrono::seconds(1);
    for (const Catalogue::TablePointer &table : m_control.settings().catalogue()->tables()) {
        longest = table ? std::max(longest, table->policy.drainDeadline) : longest;
    }
    return longest;
}

void NodeControl::checkLeave(TimePoint now)
{
    if (!m_isLeaving) {
        return;
    }
    const TrafficCounters counters = traffic();
    if (counters.fabricPackets != m_lastFabricPackets || counters.waitingHandovers > 0) {
        m_lastFabricPackets = counters.fabricPackets;
        m_idleSince = now;
    }
    if (now - m_idleSince >= IdleTimeBeforeExit) {
        finish(NodeExitReason::Drained);
        return;
    }
    if (now - m_leaveStarted >= drainDeadline()) {
        LogEvent(Severity::Warning, "drain-deadline-passed")
            .with("flows", counters.flows)
            .with("handovers-waiting", counters.waitingHandovers);
        finish(NodeExitReason::Deadline);
    }
}

void NodeControl::finish(NodeExitReason end)
{
    m_end = end;
    for (const std::unique_ptr<TrafficWorker> &worker : m_workers) {
        worker->stop();
    }
    // stop() has posted the last records of the traffic threads, so the stop record is written after them.
    asio::post(m_context, [this]() {
        withFailure([this]() { return m_records.close(wallMilliseconds()); },
            [](const Failure &failure) {
                LogEvent(Severity::Error, "records-lost").with("reason", describe(failure));
            });
        LogEvent(Severity::Info, "instance-stopped").with("flows", traffic().flows);
        m_context.stop();
    });
}

} // namespace jasminequay
