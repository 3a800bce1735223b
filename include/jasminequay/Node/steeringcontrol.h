// The control part of an instance that steers by token: what it knows, when it reads, and what it says.
#pragma once

#include "jasminequay/Node/directoryfeed.h"
#include "jasminequay/Node/steeringpath.h"
#include "jasminequay/Platform/operatorserver.h"
#include "jasminequay/Settings/steeringinstancesettings.h"

namespace jasminequay
{

/// What the store was asked.
struct StoreCounters {
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
};

/// Holds the engine and feeds it. One thread uses it.
class SteeringControl
{
public:
    SteeringControl(boost::asio::io_context &context, const SteeringInstanceSettings &settings);

    /// Decides about the next read of the store.
    FeedRequest nextRead(TimePoint now);

    /// Takes the outcome of a read.
    void takeAnswer(const StoreAnswer &answer, TimePoint startedAt, TimePoint now);

    /// Logs a decision that touches a flow.
    void noteDecision(const PacketSummary &packet, const SteeringDecision &decision, TimePoint now);

    /// Ages what is known; returns the resets that follow.
    std::vector<PendingReset> tick(TimePoint now);

    /// Stops being ready; the instance goes on forwarding.
    void beginLeave(TimePoint now);

    /// Tells whether the instance would serve, and goes on doing so.
    [[nodiscard]] bool isReady() const
    {
        return isLoaded() && !m_isLeaving;
    }

    /// Tells whether routes and targets are known.
    [[nodiscard]] bool isLoaded() const
    {
        return m_revision > 0;
    }

    [[nodiscard]] SteeringEngine &engine()
    {
        return m_engine;
    }

    [[nodiscard]] const StoreCounters &storeCounters() const
    {
        return m_store;
    }

private:
    void apply(const DirectoryUpdate &update, TimePoint now);
    void startProbes(TimePoint now);
    boost::asio::awaitable<void> probe(std::uint64_t key, Endpoint address);

    boost::asio::io_context &m_context;
    SteeringInstanceSettings m_settings;
    SteeringEngine m_engine;
    StoreCounters m_store;
    std::uint64_t m_revision = 0;
    bool m_needsAll = true;
    bool m_isStoreFailing = false;
    TimePoint m_retryAt;
    bool m_isLeaving = false;
};

} // namespace jasminequay
