#include "tcpcaller.h"

namespace jasminequay::standin
{

constexpr Duration RetransmitAfter = std::chrono::milliseconds(300);
constexpr Duration GiveUpAfter = std::chrono::seconds(15);

TcpCaller::TcpCaller(Endpoint self, Endpoint service, const Request &request, Send send, TimePoint now)
    : m_self(self)
    , m_service(service)
    , m_request(request)
    , m_send(std::move(send))
    , m_initialSequence(request.number * 7919U)
    , m_openedAt(now)
    , m_progressAt(now)
    , m_sentAt(now)
{
    transmit({true, false, false, false}, m_initialSequence, {});
}

void TcpCaller::transmit(TcpFlags flags, std::uint32_t sequence, std::span<const std::uint8_t> payload)
{
    const std::uint32_t acknowledgement = flags.ack ? m_peerSequence + 1 + m_received : 0;
    m_send(makeTcp({m_self, m_service, sequence, acknowledgement, flags, payload}));
}

void TcpCaller::acknowledge()
{
    transmit({false, true, false, false}, m_initialSequence + 1 + RequestSize, {});
}

void TcpCaller::sendRequest()
{
    transmit({false, true, false, false}, m_initialSequence + 1, m_request.encode());
}

void TcpCaller::receive(const PacketView &packet, TimePoint now)
{
    const Segment segment = readTcp(packet);
    if (hasEnded()) {
        // A target that repeats its last segment gets its acknowledgement again.
        if (m_state == CallState::Whole && segment.flags.fin) {
            transmit({false, true, true, false}, m_initialSequence + 1 + RequestSize, {});
        }
        return;
    }
    m_progressAt = now;
    if (segment.flags.rst) {
        if (m_state == CallState::Receiving) {
            breakOff("a reset");
            return;
        }
        m_state = CallState::Refused;
        return;
    }
    if (segment.flags.syn) {
        if (m_state == CallState::Opening) {
            m_peerSequence = segment.sequence;
            m_state = CallState::Receiving;
        }
        if (segment.sequence == m_peerSequence) {
            sendRequest();
        }
        return;
    }
    if (m_state == CallState::Receiving) {
        takeAnswer(segment);
    }
}

void TcpCaller::breakOff(std::string reason)
{
    m_state = CallState::Broken;
    m_reason = std::move(reason) + " after " + std::to_string(m_received) + " bytes";
}

void TcpCaller::takeAnswer(const Segment &segment)
{
    const std::uint32_t offset = segment.sequence - m_peerSequence - 1;
    m_isRequestTaken = m_isRequestTaken || segment.acknowledgement == m_initialSequence + 1 + RequestSize;
    if (offset > m_request.answerSize) {
        return;
    }
    if (segment.flags.fin) {
        m_endOffset = offset + static_cast<std::uint32_t>(segment.payload.size());
    }
    if (!segment.payload.empty()) {
        m_early.try_emplace(offset, segment.payload.begin(), segment.payload.end());
    }
    while (!m_early.empty() && m_early.begin()->first <= m_received) {
        const auto &[start, bytes] = *m_early.begin();
        for (std::size_t index = m_received - start; index < bytes.size(); ++index, ++m_received) {
            if (bytes[index] != answerByte(m_request.number, m_received)) {
                breakOff("wrong bytes");
                return;
            }
        }
        m_early.erase(m_early.begin());
    }
    if (m_received != m_endOffset) {
        acknowledge();
        return;
    }
    if (m_received != m_request.answerSize) {
        breakOff("an early end");
        return;
    }
    m_state = CallState::Whole;
    transmit({false, true, true, false}, m_initialSequence + 1 + RequestSize, {});
}

void TcpCaller::tick(TimePoint now)
{
    if (hasEnded()) {
        return;
    }
    if (now - m_progressAt > GiveUpAfter) {
        if (m_state == CallState::Receiving) {
            breakOff("silence");
            return;
        }
        m_state = CallState::Unanswered;
        return;
    }
    if (now - m_sentAt < RetransmitAfter) {
        return;
    }
    m_sentAt = now;
    if (m_state == CallState::Opening) {
        transmit({true, false, false, false}, m_initialSequence, {});
    } else if (!m_isRequestTaken) {
        sendRequest();
    }
}

} // namespace jasminequay::standin
