#include "sockets.h"
#include "world.h"

#include <algorithm>

#include <sys/socket.h>
#include <unistd.h>

namespace review
{

using std::chrono::milliseconds;

constexpr std::size_t IdSize = 8;
constexpr auto WorkTime = milliseconds(30);
constexpr auto FirstRepeat = milliseconds(200);
constexpr auto LongestRepeat = milliseconds(1600);
constexpr unsigned MaximumRepeats = 8;
constexpr std::size_t LargestPart = 1200;
constexpr std::size_t AnswerSize = 4000;

/// Returns the interval before a repeat: it doubles from the first to the longest one.
static Clock::duration repeatInterval(unsigned repeats)
{
    return std::min<Clock::duration>(FirstRepeat * (1U << std::min(repeats, 4U)), LongestRepeat);
}

Server::Server(World &world, std::string id, std::string service, End address)
    : m_world(world)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_address(address)
{
    start();
}

Server::~Server()
{
    close(m_datagrams);
    close(m_listener);
}

void Server::start()
{
    m_datagrams = bindDatagrams(m_address.address, m_address.port);
    m_listener = listenAt(m_address.address, m_address.port);
    startedAt = Clock::now();
    nextHeartbeatAt = startedAt;
    born = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
               .count();
}

void Server::crash()
{
    close(m_datagrams);
    close(m_listener);
    m_datagrams = -1;
    m_listener = -1;
    m_flows.clear();
}

void Server::restart()
{
    start();
    m_disturbedUntil = Clock::now();
}

bool Server::holds(End client, End route) const
{
    const auto found = m_flows.find({client, route});
    return found != m_flows.end() && found->second.isOpen;
}

void Server::addDescriptors(std::vector<pollfd> &descriptors) const
{
    if (isAlive()) {
        descriptors.push_back({m_datagrams, POLLIN, 0});
        descriptors.push_back({m_listener, POLLIN, 0});
    }
}

void Server::answerHealthChecks()
{
    const std::string answer = "HTTP/1.1 200 OK\r\nX-Instance-Id: " + m_id
        + "\r\nX-Server-Load: 0,0,2\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    for (int descriptor = accept(m_listener, nullptr, nullptr); descriptor >= 0;
         descriptor = accept(m_listener, nullptr, nullptr)) {
        pollfd ready{descriptor, POLLIN, 0};
        char question[1024];
        if (poll(&ready, 1, 20) == 1) {
            recv(descriptor, question, sizeof question, MSG_DONTWAIT);
        }
        sendAll(descriptor, answer);
        close(descriptor);
    }
}

void Server::serve(Time now)
{
    if (!isAlive()) {
        return;
    }
    answerHealthChecks();
    std::string bytes;
    End from;
    while (receiveDatagram(m_datagrams, bytes, from)) {
        if (bytes.size() < IdSize) {
            continue;
        }
        std::uint64_t meant = 0;
        for (std::size_t offset = 0; offset < IdSize; ++offset) {
            meant = (meant << 8) | static_cast<std::uint8_t>(bytes[offset]);
        }
        const std::uint64_t own = std::stoull(m_id.substr(m_id.rfind('-') + 1), nullptr, 16);
        const std::optional<Packet> packet = decode(std::string_view(bytes).substr(IdSize));
        if ((meant == 0 || meant == own) && packet && packet->isGenuine) {
            take(*packet);
        }
    }
    for (auto &[key, flow] : m_flows) {
        repeat(flow, now);
    }
    // A server gives up a flow whose handshake does not end.
    std::erase_if(m_flows,
        [](const auto &item) { return !item.second.isOpen && item.second.repeats > MaximumRepeats; });
}

/// Sends what is due: an answer, or again what the client has not acknowledged.
void Server::repeat(Flow &flow, Time now)
{
    const bool isDue = now - flow.sentAt >= repeatInterval(flow.repeats);
    if (!flow.isOpen) {
        if (isDue && ++flow.repeats <= MaximumRepeats) {
            answerOpening(flow, now);
        }
    } else if (flow.answerAt != Time{} && now >= flow.answerAt) {
        flow.answerAt = Time{};
        flow.unsent = std::string(AnswerSize, 'x');
        flow.repeats = 0;
        sendAnswer(flow, now);
    } else if (!flow.unsent.empty() && flow.repeats < MaximumRepeats && isDue) {
        ++flow.repeats;
        sendAnswer(flow, now);
    }
}

void Server::answerOpening(Flow &flow, Time now)
{
    flow.sentAt = now;
    reply(flow, FlagOpening | FlagAcknowledging, flow.firstNumber, {});
}

void Server::take(const Packet &packet)
{
    const std::pair<End, End> key{packet.source, packet.destination};
    if (packet.has(FlagReset)) {
        m_flows.erase(key);
        return;
    }
    if (packet.has(FlagOpening)) {
        const auto [position, isNew] = m_flows.try_emplace(key);
        Flow &flow = position->second;
        if (isNew) {
            flow.client = packet.source;
            flow.route = packet.destination;
            flow.received = packet.sequence + 1;
            flow.firstNumber = static_cast<std::uint32_t>(m_world.random()());
            flow.acknowledged = flow.firstNumber + 1;
        }
        flow.echo = packet.echo;
        answerOpening(flow, Clock::now());
        return;
    }
    const auto found = m_flows.find(key);
    const bool isHeld = found != m_flows.end()
        && (found->second.isOpen || packet.acknowledged == found->second.firstNumber + 1);
    if (isHeld) {
        takeLater(found->second, packet);
        return;
    }
    Packet reset{packet.destination, packet.source, FlagReset, packet.echo, packet.acknowledged, 0, {}};
    sendDatagram(m_datagrams, encode(reset), {packet.source.address, m_world.packetPort()});
}

void Server::takeLater(Flow &flow, const Packet &packet)
{
    flow.repeats = flow.isOpen ? flow.repeats : 0;
    flow.isOpen = true;
    flow.echo = packet.echo;
    const auto further = static_cast<std::int32_t>(packet.acknowledged - flow.acknowledged);
    if (further > 0 && static_cast<std::size_t>(further) <= flow.unsent.size()) {
        flow.unsent.erase(0, static_cast<std::size_t>(further));
        flow.acknowledged = packet.acknowledged;
        flow.repeats = 0;
    }
    if (!packet.data.empty()) {
        if (packet.sequence == flow.received) {
            flow.received += static_cast<std::uint32_t>(packet.data.size());
            flow.answerAt = Clock::now() + WorkTime;
            ++m_world.counts.runs;
        }
        reply(flow, FlagAcknowledging, flow.acknowledged, {});
    }
    if (packet.has(FlagEnd)) {
        reply(flow, FlagEnd | FlagAcknowledging, flow.acknowledged, {});
        m_flows.erase({flow.client, flow.route});
    }
}

void Server::sendAnswer(Flow &flow, Time now)
{
    flow.sentAt = now;
    for (std::size_t offset = 0; offset < flow.unsent.size(); offset += LargestPart) {
        reply(flow, FlagAcknowledging, flow.acknowledged + static_cast<std::uint32_t>(offset),
            flow.unsent.substr(offset, LargestPart));
    }
}

void Server::reply(const Flow &flow, std::uint8_t flags, std::uint32_t sequence, const std::string &data)
{
    const Packet packet{flow.route, flow.client, flags, flow.echo, sequence, flow.received, data};
    sendDatagram(m_datagrams, encode(packet), {flow.client.address, m_world.packetPort()});
}

} // namespace review
