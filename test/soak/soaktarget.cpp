#include "soaktarget.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

namespace jasminequay::soak
{

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr std::size_t IdSize = 8;
constexpr Duration WorkTime = milliseconds(20);
constexpr Duration FirstRepeat = milliseconds(200);
constexpr Duration LongestRepeat = milliseconds(1600);
constexpr unsigned MaximumRepeats = 8;

std::string answerTo(std::uint64_t request)
{
    std::string answer;
    while (answer.size() < AnswerSize) {
        answer += std::to_string(request) + ";";
    }
    answer.resize(AnswerSize);
    return answer;
}

SoakTarget::SoakTarget(asio::io_context &context, Endpoint address, std::uint64_t id, std::string name,
    std::uint16_t callerPort, TargetHooks hooks, std::uint64_t seed)
    : m_address(address)
    , m_id(id)
    , m_name(std::move(name))
    , m_callerPort(callerPort)
    , m_hooks(std::move(hooks))
    , m_random(seed)
    , m_probes(std::make_shared<tcp::acceptor>(
          context, tcp::endpoint(asio::ip::address_v4(address.address.value), address.port)))
    , m_socket(std::make_unique<DatagramSocket>(
          context, address, [this](std::string_view bytes, Endpoint from) { take(bytes, from); }))
{
    asio::co_spawn(context, acceptProbes(), asio::detached);
}

SoakTarget::~SoakTarget()
{
    boost::system::error_code ignored; // nothing is left to be done with the listener
    m_probes->close(ignored);
}

bool SoakTarget::holds(Endpoint caller, Endpoint route) const
{
    const auto found = m_flows.find({caller, route});
    return found != m_flows.end() && found->second.isOpen;
}

asio::awaitable<void> SoakTarget::acceptProbes()
{
    constexpr auto Awaited = asio::as_tuple(asio::use_awaitable);
    const std::shared_ptr<tcp::acceptor> probes = m_probes;
    const std::string answer = "HTTP/1.1 200 OK\r\nX-Instance-Id: " + m_name
        + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    while (probes->is_open()) {
        auto [error, socket] = co_await probes->async_accept(Awaited);
        if (!error) {
            std::array<char, 1024> question{};
            co_await socket.async_read_some(asio::buffer(question), Awaited);
            co_await asio::async_write(socket, asio::buffer(answer), Awaited);
        }
    }
}

void SoakTarget::take(std::string_view bytes, Endpoint from)
{
    if (m_isSilent) {
        return;
    }
    if (bytes.size() < IdSize) {
        m_hooks.onForged("a datagram without an id from " + format(from));
        return;
    }
    const std::uint64_t meant
        = boost::endian::load_big_u64(reinterpret_cast<const unsigned char *>(bytes.data()));
    if (meant != 0 && meant != m_id) {
        return;
    }
    const std::optional<SoakPacket> packet = decodePacket(bytes.substr(IdSize));
    if (!packet || !packet->isGenuine) {
        m_hooks.onForged("a changed packet from " + format(from));
        return;
    }
    if (packet->has(FlagOpening)) {
        open(*packet, from);
        return;
    }
    const auto found = m_flows.find({packet->source, packet->destination});
    if (packet->has(FlagReset)) {
        m_flows.erase({packet->source, packet->destination});
        return;
    }
    const bool isHeld = found != m_flows.end()
        && (found->second.isOpen || packet->acknowledged == found->second.firstNumber + 1);
    if (isHeld) {
        takeLater(found->second, *packet);
        return;
    }
    m_hooks.onUnheld(*packet, from);
    send({packet->destination, packet->source, FlagReset, packet->token, packet->acknowledged,
        packet->sequence + static_cast<std::uint32_t>(packet->data.size()), {}, false, false});
}

void SoakTarget::open(const SoakPacket &packet, Endpoint from)
{
    const auto [position, isNew] = m_flows.try_emplace({packet.source, packet.destination});
    Flow &flow = position->second;
    if (isNew) {
        flow.caller = packet.source;
        flow.route = packet.destination;
        flow.received = packet.sequence + 1;
        flow.firstNumber = static_cast<std::uint32_t>(m_random());
        flow.acknowledged = flow.firstNumber + 1;
    }
    flow.token = packet.token;
    m_hooks.onOpening(packet, from);
    reply(flow, FlagOpening | FlagAnswering, flow.firstNumber, {});
}

void SoakTarget::takeLater(Flow &flow, const SoakPacket &packet)
{
    flow.isOpen = true;
    flow.token = packet.token;
    const auto further = static_cast<std::int32_t>(packet.acknowledged - flow.acknowledged);
    if (further > 0 && static_cast<std::size_t>(further) <= flow.unsent.size()) {
        flow.unsent.erase(0, static_cast<std::size_t>(further));
        flow.acknowledged = packet.acknowledged;
        flow.repeats = 0;
        flow.interval = FirstRepeat;
    }
    if (!packet.data.empty()) {
        takeData(flow, packet);
    }
    if (packet.has(FlagEnd)) {
        reply(flow, FlagEnd | FlagAnswering, flow.acknowledged, {});
        m_flows.erase({flow.caller, flow.route});
    }
}

/// A request is one packet: its number in digits.
void SoakTarget::takeData(Flow &flow, const SoakPacket &packet)
{
    if (packet.sequence == flow.received) {
        flow.received += static_cast<std::uint32_t>(packet.data.size());
        flow.request = std::stoull(packet.data);
        flow.answerAt = std::chrono::steady_clock::now() + WorkTime;
        m_hooks.onRun(flow.route, flow.request);
    }
    reply(flow, FlagAnswering, flow.acknowledged, {});
}

void SoakTarget::tick(TimePoint now)
{
    for (auto &[key, flow] : m_flows) {
        if (flow.answerAt != TimePoint{} && now >= flow.answerAt) {
            flow.answerAt = TimePoint{};
            flow.unsent = answerTo(flow.request);
            flow.interval = FirstRepeat;
            flow.repeats = 0;
            sendAnswer(flow, now);
        } else if (!flow.unsent.empty() && now - flow.sentAt >= flow.interval
            && flow.repeats < MaximumRepeats) {
            ++flow.repeats;
            flow.interval = std::min(flow.interval * 2, LongestRepeat);
            sendAnswer(flow, now);
        }
    }
}

void SoakTarget::sendAnswer(Flow &flow, TimePoint now)
{
    flow.sentAt = now;
    for (std::size_t offset = 0; offset < flow.unsent.size(); offset += LargestPart) {
        reply(flow, FlagAnswering, flow.acknowledged + static_cast<std::uint32_t>(offset),
            flow.unsent.substr(offset, LargestPart));
    }
}

void SoakTarget::reply(const Flow &flow, std::uint8_t flags, std::uint32_t sequence, std::string data)
{
    send(
        {flow.route, flow.caller, flags, flow.token, sequence, flow.received, std::move(data), false, false});
}

void SoakTarget::send(const SoakPacket &packet)
{
    if (m_isSilent) {
        return;
    }
    m_socket->send(encodePacket(packet), {packet.destination.address, m_callerPort});
}

} // namespace jasminequay::soak
