// A target that answers TCP requests, with retransmission, and notes what ran where.
#pragma once

#include "packetfactory.h"
#include "request.h"

#include "jasminequay/Support/timepoint.h"

#include <functional>
#include <map>
#include <set>

namespace jasminequay::standin
{

/// What all targets of a run noted together.
struct TargetLedger {
    std::uint64_t wrongService = 0; ///< Requests that reached a target of another service.
    std::map<std::uint32_t, std::uint32_t> runs; ///< How often each request ran.
    std::uint64_t unknownFlows = 0; ///< Segments of flows that the target does not have.
};

/// One target of a service.
class TcpTarget
{
public:
    using Send = std::function<void(Bytes)>;

    TcpTarget(Endpoint self, std::uint32_t service, TargetLedger &ledger, Send send);

    /// Takes a packet for this target.
    void receive(const PacketView &packet, TimePoint now);

    /// Sends what is due.
    void tick(TimePoint now);

    /// Returns the flows that are open.
    [[nodiscard]] std::size_t openFlows() const
    {
        return m_flows.size();
    }

    /// Returns the flows opened so far.
    [[nodiscard]] std::uint64_t opened() const
    {
        return m_opened;
    }

private:
    /// One flow at the target.
    struct Flow {
        std::uint32_t callerSequence = 0;
        std::uint32_t ownSequence = 0;
        bool hasRequest = false;
        Request request;
        std::uint32_t acknowledged = 0; ///< Bytes of the answer, with one for the end.
        std::uint32_t sent = 0;
        std::uint32_t allowance = 0; ///< Bytes that the pace allows so far.
        TimePoint paceAt;
        TimePoint progressAt;
    };

    void open(Flow &flow, const Segment &segment, TimePoint now);
    void takeRequest(Flow &flow, const Segment &segment, TimePoint now);
    void advance(Endpoint caller, Flow &flow, TimePoint now);
    void transmit(
        Endpoint caller, const Flow &flow, TcpFlags flags, std::uint32_t offset, std::uint32_t size);

    Endpoint m_self;
    std::uint32_t m_service;
    TargetLedger &m_ledger;
    Send m_send;
    std::map<Endpoint, Flow> m_flows;
    std::uint64_t m_opened = 0;
};

} // namespace jasminequay::standin
