#include "endpoint.h"

#include <unistd.h>

#include <algorithm>
#include <thread>

namespace review
{

constexpr std::size_t IdSize = 8;
constexpr double WorkSeconds = 0.03;
constexpr double FirstRepeat = 0.2;
constexpr double LongestRepeat = 1.6;
constexpr unsigned MaximumRepeats = 8;

Endpoint::Endpoint(
    Address address, std::string id, std::string service, std::uint16_t clientPort, EndpointHooks hooks)
    : m_address(address)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_clientPort(clientPort)
    , m_hooks(std::move(hooks))
    , m_number(std::stoull(m_id.substr(m_id.rfind('-') + 1), nullptr, 16))
    , m_random(static_cast<std::uint32_t>(m_number))
{
}

bool Endpoint::open()
{
    const sockaddr_in local = toSocketAddress(m_address);
    m_socket = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const bool isOpen = bind(m_socket, reinterpret_cast<const sockaddr *>(&local), sizeof local) == 0
        && bind(listener, reinterpret_cast<const sockaddr *>(&local), sizeof local) == 0
        && listen(listener, 64) == 0;
    if (!isOpen) {
        return false;
    }
    const std::string answer
        = "HTTP/1.1 200 OK\r\nX-Instance-Id: " + m_id + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    std::thread([listener, answer]() {
        while (true) {
            const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            char question[1024];
            if (connection >= 0 && recv(connection, question, sizeof question, 0) > 0) {
                ::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
            }
            close(connection);
        }
    }).detach();
    return true;
}

bool Endpoint::holds(Address client, Address route) const
{
    const auto found = m_flows.find({client, route});
    return found != m_flows.end() && found->second.isOpen;
}

void Endpoint::receive()
{
    char buffer[2048];
    sockaddr_in from{};
    socklen_t length = sizeof from;
    ssize_t size = 0;
    while ((size = recvfrom(m_socket, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr *>(&from), &length))
        > 0) {
        take({buffer, static_cast<std::size_t>(size)}, {ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)});
    }
}

void Endpoint::take(const std::string &datagram, Address from)
{
    if (datagram.size() < IdSize) {
        return;
    }
    std::uint64_t meant = 0;
    for (std::size_t index = 0; index < IdSize; ++index) {
        meant = meant << 8 | static_cast<unsigned char>(datagram[index]);
    }
    const std::optional<Packet> packet = decode(std::string_view(datagram).substr(IdSize));
    if ((meant != 0 && meant != m_number) || !packet || !packet->isGenuine) {
        return;
    }
    if ((packet->flags & Syn) != 0) {
        takeSyn(*packet, from);
    } else if ((packet->flags & Rst) != 0) {
        m_flows.erase({packet->source, packet->destination});
    } else {
        takeOther(*packet, from);
    }
}

void Endpoint::takeSyn(const Packet &packet, Address from)
{
    const Key key{packet.source, packet.destination};
    const auto [position, isNew] = m_flows.try_emplace(key);
    Flow &flow = position->second;
    if (isNew) {
        flow.firstSeq = static_cast<std::uint32_t>(m_random());
        flow.received = packet.seq + 1;
        flow.acknowledged = flow.firstSeq + 1;
        arm(flow);
    }
    flow.echo = packet.echo;
    m_hooks.onSyn(packet, from);
    if (!flow.isOpen) {
        send(key, flow, Syn | Ack, flow.firstSeq, {});
    }
}

void Endpoint::takeOther(const Packet &packet, Address from)
{
    const Key key{packet.source, packet.destination};
    const auto found = m_flows.find(key);
    const bool isHeld
        = found != m_flows.end() && (found->second.isOpen || packet.ack == found->second.firstSeq + 1);
    if (!isHeld) {
        m_hooks.onUnheld(packet, from);
        sendPacket(
            {packet.echo, Rst, packet.ack, packet.seq, packet.destination, packet.source, {}, true, false});
        return;
    }
    Flow &flow = found->second;
    flow.isOpen = true;
    flow.echo = packet.echo;
    const auto further = static_cast<std::int32_t>(packet.ack - flow.acknowledged);
    if (further > 0 && static_cast<std::size_t>(further) <= flow.unsent.size()) {
        flow.unsent.erase(0, static_cast<std::size_t>(further));
        flow.acknowledged = packet.ack;
        arm(flow);
    }
    if ((packet.flags & Fin) != 0) {
        send(key, flow, Fin | Ack, flow.acknowledged, {});
        m_flows.erase(found);
        return;
    }
    if (packet.data.empty()) {
        return;
    }
    if (packet.seq == flow.received) {
        flow.received += static_cast<std::uint32_t>(packet.data.size());
        flow.unanswered = packet.data;
        flow.answerAt = now() + WorkSeconds;
        m_hooks.onRun(packet);
    }
    send(key, flow, Ack, flow.acknowledged, {});
}

void Endpoint::arm(Flow &flow)
{
    flow.interval = FirstRepeat;
    flow.repeatAt = now() + flow.interval;
    flow.repeats = 0;
}

void Endpoint::tick()
{
    for (auto position = m_flows.begin(); position != m_flows.end();) {
        auto &[key, flow] = *position;
        if (!flow.unanswered.empty() && now() >= flow.answerAt) {
            flow.unsent = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(flow.unanswered.size())
                + "\r\n\r\n" + flow.unanswered;
            flow.unanswered.clear();
            arm(flow);
            send(key, flow, Ack, flow.acknowledged, flow.unsent);
        }
        // A SYN+ACK is repeated until its handshake ends, data until the client acknowledges it.
        const bool isMissing = !flow.isOpen || !flow.unsent.empty();
        if (isMissing && now() >= flow.repeatAt) {
            if (flow.repeats == MaximumRepeats) {
                position = m_flows.erase(position);
                continue;
            }
            ++flow.repeats;
            flow.interval = std::min(2 * flow.interval, LongestRepeat);
            flow.repeatAt = now() + flow.interval;
            if (flow.isOpen) {
                send(key, flow, Ack, flow.acknowledged, flow.unsent);
            } else {
                send(key, flow, Syn | Ack, flow.firstSeq, {});
            }
        }
        ++position;
    }
}

void Endpoint::send(
    const Key &key, const Flow &flow, std::uint8_t flags, std::uint32_t seq, const std::string &data)
{
    sendPacket({flow.echo, flags, seq, flow.received, key.second, key.first, data, true, false});
}

void Endpoint::sendPacket(const Packet &packet)
{
    m_hooks.send(m_socket, encode(packet), {packet.destination.ip, m_clientPort});
}

} // namespace review
