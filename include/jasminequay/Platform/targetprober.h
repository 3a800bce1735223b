// Reads the load endpoints of the targets whose services this instance owns, and of no others.
#pragma once

#include "jasminequay/Packet/endpoint.h"
#include "jasminequay/Platform/loadreport.h"
#include "jasminequay/Support/timepoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <vector>

namespace jasminequay
{

/// A target to probe, with what takes its report.
struct ProbedTarget {
    Endpoint loadEndpoint;
    std::function<void(const LoadReport &)> take;
};

/// Probes a changing set of targets in turn. A target that fails is left alone until its next turn; its last
/// report ages.
class TargetProber
{
public:
    using TargetSource = std::function<std::vector<ProbedTarget>()>;

    /// Asks `source` for the targets at the start of each round.
    TargetProber(boost::asio::io_context &context, TargetSource source, Duration interval);

    /// Starts probing; it ends with the context.
    void start();

private:
    boost::asio::awaitable<void> run();

    boost::asio::io_context &m_context;
    TargetSource m_source;
    Duration m_interval;
};

} // namespace jasminequay
