#include "jasminequay/Platform/reachabilityprobe.h"

#include "jasminequay/Platform/httpexchange.h"
#include "jasminequay/Support/bootclock.h"

namespace jasminequay
{

/// Connections within a region take milliseconds; a lost opening segment is repeated only after a second.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(150);

/// A timeout that is noticed this late says that this process had no time, and nothing of the target.
constexpr Duration LatestTimeout = std::chrono::milliseconds(250);

constexpr std::size_t LargestAnswer = 4096;

boost::asio::awaitable<TargetProbe> probeTarget(Endpoint target, ProbeQuestion question)
{
    const TimePoint startedAt = bootTime();
    const HttpAnswer answer
        = co_await httpGet(target, question.path, {ProbeTimeout, LargestAnswer}, Step::ProbeTarget);
    TargetProbe probe;
    if (answer.isConnected) {
        probe.reachability = Reachability::Connected;
        const auto name = answer.headers.find(question.nameHeader);
        probe.name = name == answer.headers.end() ? std::string() : name->second;
        co_return probe;
    }
    if (answer.isRefused) {
        probe.reachability = Reachability::Refused;
        co_return probe;
    }
    const bool isLate = bootTime() - startedAt > LatestTimeout;
    probe.reachability = isLate ? Reachability::Unknown : Reachability::Silent;
    co_return probe;
}

} // namespace jasminequay
