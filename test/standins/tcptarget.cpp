#include "tcptarget.h"

#include <algorithm>

namespace jasminequay::standin
{

constexpr std::uint32_t SegmentBytes = 1200;
constexpr std::uint32_t WindowBytes = 32 * SegmentBytes;
constexpr Duration RetransmitAfter = std::chrono::milliseconds(250);
constexpr Duration ForgetAfter = std::chrono::seconds(30);
constexpr Duration PaceInterval = std::chrono::milliseconds(100);

TcpTarget::TcpTarget(Endpoint self, std::uint32_t service, TargetLedger &ledger, Send send)
    : m_self(self)
    , m_service(service)
    , m_ledger(ledger)
    , m_send(std::move(send))
{
}

void TcpTarget::transmit(
    Endpoint caller, const Flow &flow, TcpFlags flags, std::uint32_t offset, std::uint32_t size)
{
    Bytes payload(size);
    for (std::uint32_t index = 0; index < size; ++index) {
        payload[index] = answerByte(flow.request.number, offset + index);
    }
    const std::uint32_t acknowledgement = flow.callerSequence + 1 + (flow.hasRequest ? RequestSize : 0);
    const std::uint32_t sequence = flags.syn ? flow.ownSequence : flow.ownSequence + 1 + offset;
    m_send(makeTcp({m_self, caller, sequence, acknowledgement, flags, payload}));
}

void TcpTarget::receive(const PacketView &packet, TimePoint now)
{
    const Segment segment = readTcp(packet);
    if (segment.flags.opens()) {
        open(m_flows[segment.source], segment, now);
        return;
    }
    const auto found = m_flows.find(segment.source);
    if (found == m_flows.end()) {
        if (!segment.flags.rst && !segment.flags.fin) {
            ++m_ledger.unknownFlows;
            m_send(makeTcp(
                {m_self, segment.source, segment.acknowledgement, 0, {false, false, false, true}, {}}));
        }
        return;
    }
    Flow &flow = found->second;
    if (segment.flags.rst) {
        m_flows.erase(found);
        return;
    }
    if (!flow.hasRequest) {
        takeRequest(flow, segment, now);
    }
    const std::uint32_t acknowledged = segment.acknowledgement - flow.ownSequence - 1;
    if (flow.hasRequest && acknowledged > flow.acknowledged && acknowledged <= flow.request.answerSize + 1) {
        flow.acknowledged = acknowledged;
        flow.progressAt = now;
    }
    if (segment.flags.fin && flow.hasRequest && flow.acknowledged >= flow.request.answerSize) {
        m_send(makeTcp({m_self, segment.source, flow.ownSequence + 2 + flow.request.answerSize,
            segment.sequence + 1, {false, true, false, false}, {}}));
        m_flows.erase(found);
        return;
    }
    advance(segment.source, flow, now);
}

void TcpTarget::open(Flow &flow, const Segment &segment, TimePoint now)
{
    const bool isRepeated = flow.callerSequence == segment.sequence && flow.ownSequence != 0;
    if (!isRepeated) {
        flow = Flow{};
        flow.callerSequence = segment.sequence;
        flow.ownSequence = segment.sequence * 31 + m_self.address.value + 1;
        flow.paceAt = now;
        ++m_opened;
    }
    flow.progressAt = now;
    transmit(segment.source, flow, {true, true, false, false}, 0, 0);
}

void TcpTarget::takeRequest(Flow &flow, const Segment &segment, TimePoint now)
{
    const bool isInOrder
        = segment.sequence == flow.callerSequence + 1 && segment.acknowledgement == flow.ownSequence + 1;
    const std::optional<Request> request = isInOrder ? Request::decode(segment.payload) : std::nullopt;
    if (!request) {
        return;
    }
    flow.hasRequest = true;
    flow.request = *request;
    flow.progressAt = now;
    flow.allowance = request->paceBytes;
    m_ledger.wrongService += request->service != m_service ? 1 : 0;
    ++m_ledger.runs[request->number];
}

/// Sends what the window and the pace allow, and the end behind the last byte.
void TcpTarget::advance(Endpoint caller, Flow &flow, TimePoint now)
{
    if (!flow.hasRequest) {
        return;
    }
    const std::uint32_t size = flow.request.answerSize;
    const std::uint32_t paced = flow.request.paceBytes == 0 ? size : std::min(size, flow.allowance);
    const std::uint32_t limit = std::min(paced, flow.acknowledged + WindowBytes);
    while (flow.sent < limit) {
        const std::uint32_t count = std::min(SegmentBytes, limit - flow.sent);
        transmit(caller, flow, {false, true, false, false}, flow.sent, count);
        flow.sent += count;
    }
    if (flow.sent == size) {
        transmit(caller, flow, {false, true, true, false}, size, 0);
        ++flow.sent;
    }
    static_cast<void>(now);
}

void TcpTarget::tick(TimePoint now)
{
    for (auto position = m_flows.begin(); position != m_flows.end();) {
        Flow &flow = position->second;
        if (now - flow.progressAt > ForgetAfter) {
            position = m_flows.erase(position);
            continue;
        }
        if (now - flow.paceAt >= PaceInterval) {
            flow.paceAt = now;
            flow.allowance += flow.request.paceBytes;
        }
        const bool isOverdue = flow.acknowledged < flow.sent && now - flow.progressAt > RetransmitAfter;
        if (flow.hasRequest && isOverdue) {
            flow.sent = std::min(flow.acknowledged, flow.request.answerSize);
            flow.progressAt = now;
        }
        advance(position->first, flow, now);
        ++position;
    }
}

} // namespace jasminequay::standin
