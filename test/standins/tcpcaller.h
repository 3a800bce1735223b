// A caller that opens a TCP flow, asks, takes the whole answer and closes; with retransmission.
#pragma once

#include "packetfactory.h"
#include "request.h"

#include "jasminequay/Support/timepoint.h"

#include <functional>
#include <map>
#include <string>

namespace jasminequay::standin
{

/// How a call stands or ended.
enum class CallState : std::uint8_t {
    Opening,
    Receiving,
    Whole, ///< The whole answer came, byte for byte.
    Refused, ///< A reset answered the first segment.
    Broken, ///< A reset, wrong bytes or silence after the flow was open.
    Unanswered, ///< The flow never opened.
};

/// One call.
class TcpCaller
{
public:
    using Send = std::function<void(Bytes)>;

    TcpCaller(Endpoint self, Endpoint service, const Request &request, Send send, TimePoint now);

    /// Takes a packet for this caller.
    void receive(const PacketView &packet, TimePoint now);

    /// Retransmits and gives up when it is time.
    void tick(TimePoint now);

    [[nodiscard]] CallState state() const
    {
        return m_state;
    }

    [[nodiscard]] bool hasEnded() const
    {
        return m_state != CallState::Opening && m_state != CallState::Receiving;
    }

    [[nodiscard]] std::uint32_t received() const
    {
        return m_received;
    }

    /// Returns why the call broke; empty if it did not.
    [[nodiscard]] const std::string &reason() const
    {
        return m_reason;
    }

private:
    void transmit(TcpFlags flags, std::uint32_t sequence, std::span<const std::uint8_t> payload);
    void acknowledge();
    void sendRequest();
    void takeAnswer(const Segment &segment);
    void breakOff(std::string reason);

    Endpoint m_self;
    Endpoint m_service;
    Request m_request;
    Send m_send;
    CallState m_state = CallState::Opening;
    std::uint32_t m_initialSequence;
    std::uint32_t m_peerSequence = 0; ///< The target's first sequence number.
    std::uint32_t m_received = 0; ///< Bytes of the answer that came in order.
    std::map<std::uint32_t, Bytes> m_early; ///< Parts of the answer that came out of order, by offset.
    std::uint32_t m_endOffset = UINT32_MAX; ///< Where the target ended its answer.
    std::string m_reason;
    bool m_isRequestTaken = false;
    TimePoint m_openedAt;
    TimePoint m_progressAt;
    TimePoint m_sentAt;
};

} // namespace jasminequay::standin
